package nettletrail.fleet.settings;

/**
 * The values of keys that a settings file leaves out, each in the unit of its key; see {@code
 * docs/operate/fleet.md}. Defaults of 0, 1 and 2 are written where the key is parsed.
 */
final class SettingsDefaults {
  /** {@code limits.memory_mb}. */
  static final int MEMORY_MB = 256;

  /** {@code limits.file_limit}. */
  static final int FILE_LIMIT = 1_024;

  /** {@code limits.link_mbps}. */
  static final double LINK_MBPS = 1_000;

  /** {@code beat_ms}. */
  static final int HEARTBEAT_MS = 1_000;

  /** {@code bounds.roster_lag_s}. */
  static final int ROSTER_LAG_S = 3;

  /** {@code bounds.contact_ms}. */
  static final int CONTACT_MS = 3_000;

  /** {@code bounds.receipt_ms}. */
  static final int RECEIPT_MS = 4_000;

  /** {@code bounds.catch_up_s}. */
  static final int CATCH_UP_S = 4;

  /** {@code bounds.drain_ms}. */
  static final int DRAIN_MS = 2_000;

  /** {@code bounds.grace_s}. */
  static final int GRACE_S = 8;

  /** {@code bounds.loss_slack_ms}. */
  static final int LOSS_SLACK_MS = 200;

  /** {@code bounds.in_force_ms}. */
  static final int IN_FORCE_MS = 2_000;

  /** {@code bounds.return_slack_ms}. */
  static final int RETURN_SLACK_MS = 250;

  /** {@code bounds.stretch_ms}. */
  static final int STRETCH_MS = 5_000;

  /** {@code bounds.revoke_ms}. */
  static final int REVOKE_MS = 5_000;

  /** {@code bounds.retry_ratio}. */
  static final double RETRY_RATIO = 0.2;

  /** {@code bounds.retry_window_s}. */
  static final int RETRY_WINDOW_S = 10;

  /** {@code bounds.quota_window_s}. */
  static final int QUOTA_WINDOW_S = 8;

  /** {@code bounds.quota_over}. */
  static final double QUOTA_OVER = 0.1;

  /** {@code bounds.recover_s}. */
  static final int RECOVER_S = 12;

  /** {@code bounds.pass_ms}. */
  static final int PASS_MS = 120;

  /** {@code bounds.again_s}. */
  static final int AGAIN_S = 10;

  private SettingsDefaults() {}
}
