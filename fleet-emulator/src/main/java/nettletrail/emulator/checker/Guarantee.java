package nettletrail.emulator.checker;

/** The guarantees of the fleet, each with a check of its own. */
public enum Guarantee {
  /** The calls of operators are linearizable. */
  LINEARIZABLE_CONFIGURATION,
  /** An operator never reads an older configuration than one that a door has used before. */
  READS_NOT_BEHIND_DOORS,
  /** A door never returns to an older configuration within one incarnation. */
  CONFIGURATION_MONOTONIC,
  /** A stable door uses a configuration within a limit after its acknowledgement. */
  CONFIGURATION_ACTIVATED,
  /** A shard has at most one owner at any instant. */
  SINGLE_OWNER,
  /** A fencing token is used by one process only, and for one value per sequence number. */
  FENCING_TOKEN_UNIQUE,
  /** The use of a tenant at all doors stays within its limit in every window. */
  QUOTA_WINDOW,
  /** No door, stable or not, accepts a key later than a limit after its acknowledged removal. */
  KEY_REVOKED,
  /** No stable door uses a backend later than a limit after its acknowledged closing. */
  BACKEND_DRAINED,
  /** Some time after the end of all faults every door lists all serving backends as ready. */
  BACKENDS_LISTED,
  /** A change is acknowledged within a limit after the end of all faults. */
  RECOVERY
}
