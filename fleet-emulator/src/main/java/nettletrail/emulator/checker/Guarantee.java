package nettletrail.emulator.checker;

/** What the fleet promises, one entry for each check. */
public enum Guarantee {
  /** Calls of the operators have an order in which each answer is right. */
  LINEARIZABLE_CONFIGURATION,
  /** Operators don't read an older configuration than a door was seen to use before. */
  READS_FOLLOW_DOORS,
  /** Within a process's life a door never uses an older configuration than before. */
  CONFIGURATION_NEVER_BACK,
  /** A door in touch uses a configuration some time after it was acknowledged. */
  CONFIGURATION_IN_FORCE,
  /** At no instant do two processes hold the owner's lease of one shard. */
  ONE_OWNER,
  /**
   * No two processes use one fencing token, and no two values are written under one token and
   * sequence.
   */
  TOKEN_USED_ONCE,
  /** Use of a tenant stays within its limit in every window, over all doors. */
  QUOTA_WINDOW,
  /** No door takes a key some time after its removal was acknowledged, cut off or not. */
  REVOKED_KEY,
  /** No door in touch uses a backend some time after its end was acknowledged. */
  DRAINED_BACKEND,
  /**
   * Some time after all troubles have ended, every door lists the backends that call and none that
   * said it is gone.
   */
  BACKENDS_KNOWN,
  /** Once all troubles have ended, an order is taken again in time. */
  RECOVERY
}
