package nettletrail.fleet.settings;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Maps the keys of a settings file to {@link FleetSettings}. Faults are collected by {@link
 * SettingsValues} in the order in which the keys are parsed.
 */
final class SettingsParser {
  private static final String PUBLIC_GATE = "ports.public_gate";
  private static final String READY_GATE = "ports.ready_gate";
  private static final String CONTROL_GATE = "ports.control_gate";

  private final SettingsValues values;

  private SettingsParser(SettingsValues values) {
    this.values = values;
  }

  /**
   * Parses a text. Unknown keys are ignored.
   *
   * @param source where the text is from, named in the error
   * @throws SettingsException with all faults of the text
   */
  static FleetSettings parse(String text, String source) throws SettingsException {
    SettingsValues values = new SettingsValues(text);
    FleetSettings settings = new SettingsParser(values).parseAll();
    if (!values.faults().isEmpty()) {
      throw new SettingsException(source, values.faults());
    }
    return settings;
  }

  private FleetSettings parseAll() {
    Set<String> serves = Set.copyOf(values.list("serves"));
    requireServedAddresses(serves);
    return new FleetSettings(
        values.requiredText("node", "name the machine"),
        values.text("role", ""),
        values.text("machine_class", ""),
        serves,
        ip(),
        values.requiredText("zone", "name the machine's zone"),
        values.text("region", ""),
        Map.copyOf(values.withPrefix("zones.")),
        values.address(PUBLIC_GATE),
        values.address(READY_GATE),
        values.address(CONTROL_GATE),
        values.portRange("spare_ports"),
        seeds(),
        values.booleanValue("first_run", false),
        values.booleanValue("counts_for_quorum", false),
        limits(),
        dataDirectory(),
        heartbeatInterval(),
        Set.copyOf(values.list("clauses")),
        toleratedLosses(),
        bounds());
  }

  private void requireServedAddresses(Set<String> serves) {
    if (serves.contains(FleetSettings.SERVES_CLIENTS)) {
      requireAddress(PUBLIC_GATE);
      requireAddress(READY_GATE);
    }
    if (serves.contains(FleetSettings.SERVES_CONTROL)) {
      requireAddress(CONTROL_GATE);
    }
  }

  private void requireAddress(String key) {
    if (!values.hasValue(key)) {
      values.addFault(key, "write ip:port, since serves asks for it");
    }
  }

  private String ip() {
    String ip = values.requiredText("ip", "write the machine's IPv4 number");
    if (!ip.isEmpty() && !Addresses.isIpV4(ip)) {
      values.addFault("ip", "write an IPv4 number");
    }
    return ip;
  }

  private List<String> seeds() {
    if (!values.isDefined("seed_nodes")) {
      values.addFault(
          "seed_nodes", "write the seeds as ip:port, joined by commas; it may be empty");
    }
    return values.addresses("seed_nodes");
  }

  private MachineLimits limits() {
    return new MachineLimits(
        values.doubleValue("limits.cpu_share", 1),
        values.doubleValue("limits.core_count", 1),
        values.intValue("limits.memory_mb", SettingsDefaults.MEMORY_MB),
        values.intValue("limits.file_limit", SettingsDefaults.FILE_LIMIT),
        values.doubleValue("limits.link_mbps", SettingsDefaults.LINK_MBPS),
        values.intValue("limits.disk_mb", 0));
  }

  private Optional<Path> dataDirectory() {
    if (!values.hasValue("data_dir")) {
      return Optional.empty();
    }
    try {
      return Optional.of(Path.of(values.text("data_dir", "")));
    } catch (InvalidPathException failure) {
      values.addFault("data_dir", "write the path of a folder");
      return Optional.empty();
    }
  }

  private Duration heartbeatInterval() {
    Duration interval = values.millis("beat_ms", SettingsDefaults.HEARTBEAT_MS);
    if (interval.isZero()) {
      values.addFault("beat_ms", "write a time above 0 in milliseconds");
    }
    return interval;
  }

  private ToleratedLosses toleratedLosses() {
    return new ToleratedLosses(
        values.intValue("withstand.machines", 1),
        values.intValue("withstand.zones", 0),
        values.intValue("withstand.regions", 0));
  }

  private OperatingLimits bounds() {
    return new OperatingLimits(
        values.seconds("bounds.roster_lag_s", SettingsDefaults.ROSTER_LAG_S),
        values.seconds("bounds.reuse_after_s", 2),
        values.millis("bounds.contact_ms", SettingsDefaults.CONTACT_MS),
        values.millis("bounds.receipt_ms", SettingsDefaults.RECEIPT_MS),
        values.seconds("bounds.catch_up_s", SettingsDefaults.CATCH_UP_S),
        values.millis("bounds.drain_ms", SettingsDefaults.DRAIN_MS),
        values.seconds("bounds.grace_s", SettingsDefaults.GRACE_S),
        values.millis("bounds.loss_slack_ms", SettingsDefaults.LOSS_SLACK_MS),
        values.millis("bounds.in_force_ms", SettingsDefaults.IN_FORCE_MS),
        values.millis("bounds.return_slack_ms", SettingsDefaults.RETURN_SLACK_MS),
        values.millis("bounds.stretch_ms", SettingsDefaults.STRETCH_MS),
        values.booleanValue("bounds.revoked_closed", true),
        values.millis("bounds.revoke_ms", SettingsDefaults.REVOKE_MS),
        values.doubleValue("bounds.retry_ratio", SettingsDefaults.RETRY_RATIO),
        values.seconds("bounds.retry_window_s", SettingsDefaults.RETRY_WINDOW_S),
        values.longValue("bounds.retry_slack", 0),
        values.seconds("bounds.quota_window_s", SettingsDefaults.QUOTA_WINDOW_S),
        values.doubleValue("bounds.quota_over", SettingsDefaults.QUOTA_OVER),
        values.longValue("bounds.quota_slack", 0),
        values.seconds("bounds.recover_s", SettingsDefaults.RECOVER_S),
        values.millis("bounds.pass_ms", SettingsDefaults.PASS_MS),
        values.seconds("bounds.again_s", SettingsDefaults.AGAIN_S));
  }
}
