package nettletrail.emulator.checker;

/** What the fleet promises, one entry for each check. */
public enum Guarantee {
  /** Calls of the operators have an order in which each answer is right. */
  LINEARIZABLE_CONFIGURATION,
  /** Operators don't read an older configuration than a door was seen to use before. */
  READS_NOT_BEHIND_DOORS,
  /** Within a process's life a door never uses an older configuration than before. */
  CONFIGURATION_MONOTONIC,
  /** A door in touch uses a configuration some time after it was acknowledged. */
  CONFIGURATION_ACTIVATED,
  /** At no instant do two processes hold the owner's lease of one shard. */
  SINGLE_OWNER,
  /**
   * No two processes use one fencing token, and no two values are written under one token and
   * sequence.
   */
  FENCING_TOKEN_UNIQUE,
  /** Use of a tenant stays within its limit in every window, over all doors. */
  QUOTA_WINDOW,
  /** No door takes a key some time after its removal was acknowledged, cut off or not. */
  KEY_REVOKED,
  /** No door in touch uses a backend some time after its end was acknowledged. */
  BACKEND_DRAINED,
  /**
   * Some time after all troubles have ended, every door lists the backends that call and none that
   * said it is gone.
   */
  BACKENDS_LISTED,
  /** Once all troubles have ended, an order is taken again in time. */
  RECOVERY
}
