package nettletrail.members;

/** Why something that came from the network was dropped: counted by kind, each kind logged once, never answered. */
public enum Dropped {
    /** Shorter than its own head. */
    TRUNCATED,
    /** Longer than any that is sent. */
    OVERLONG,
    /** Not of this protocol, or of a version that isn't known. */
    FOREIGN,
    /** Sealed under a key that isn't known: another installation, or a rotation that one side missed. */
    FOREIGN_KEY,
    /** The seal is broken: nobody with the key made it. */
    FORGED,
    /** It has come before. */
    REPLAYED,
    /** Meant for another life of this front door. */
    OTHER_LIFE,
    /** Authentic, and against the rules: a fault of another front door. */
    MALFORMED,
    /** More than may be sent a second. */
    OVER_RATE
}
