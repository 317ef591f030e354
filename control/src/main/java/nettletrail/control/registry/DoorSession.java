package nettletrail.control.registry;

import nettletrail.protocol.DoorHeartbeat;

/**
 * One door at this core process: its lease, its configuration and its position in the feed. Not
 * thread-safe; instants are steady nanoseconds.
 */
final class DoorSession {
  private static final long MILLIS = 1_000_000L;

  /** A door is live for so long after its last heartbeat. */
  static final long LEASE_NANOS = 3_000 * MILLIS;

  private final String door;
  private final FeedPosition feedPosition;
  private String zone = "";
  private boolean draining;
  private boolean linkUp;
  private long leaseUntil;
  private boolean isConfigurationSource;
  private long configurationSequence;
  private long sentSequence;

  DoorSession(String door, long now) {
    this.door = door;
    this.leaseUntil = now;
    this.feedPosition = new FeedPosition(now - LEASE_NANOS);
  }

  String door() {
    return door;
  }

  /** The door may be a new process: what it has is unknown until its first heartbeat. */
  void linkUp() {
    linkUp = true;
    isConfigurationSource = false;
    sentSequence = 0;
    feedPosition.reset();
  }

  void linkDown() {
    linkUp = false;
    feedPosition.forget();
  }

  /** Renews the lease and takes over what the door reports. */
  void heartbeat(DoorHeartbeat heartbeat, long now) {
    linkUp = true;
    zone = heartbeat.getZone();
    draining = heartbeat.getDraining();
    leaseUntil = now + LEASE_NANOS;
    configurationSequence = heartbeat.getConfigurationSequence();
    isConfigurationSource = heartbeat.getConfigurationSource();
    feedPosition.reported(heartbeat.getFeed(), heartbeat.getFeedOffset(), now);
  }

  /** Whether the door holds a lease. */
  boolean isLive(long now) {
    return now - leaseUntil < 0;
  }

  /** Whether there is no link and the lease expired more than so many nanoseconds ago. */
  boolean isIdleFor(long nanos, long now) {
    return !linkUp && now - leaseUntil > nanos;
  }

  /** The session for operators. */
  DoorStatus status(long now) {
    return new DoorStatus(
        door,
        zone,
        isLive(now),
        Math.max(0, leaseUntil - now) / MILLIS,
        linkUp,
        draining,
        configurationSequence,
        feedPosition.acknowledgedOffset());
  }

  /** Whether messages can be sent and it is known what the door has. */
  boolean isReady() {
    return linkUp && feedPosition.isKnown();
  }

  /**
   * Whether the configuration with this sequence has to be sent to the door unasked: this process
   * is its source, and no other one is in flight. Of many in quick succession the intermediate ones
   * are skipped, since each is complete. Nothing is retried: a door that misses a chunk requests
   * it.
   */
  boolean needsConfiguration(long sequence) {
    boolean inFlight = configurationSequence < sentSequence;
    return isReady() && isConfigurationSource && configurationSequence < sequence && !inFlight;
  }

  /** A chunk of this configuration was sent. */
  void configurationSent(long sequence) {
    sentSequence = sequence;
  }

  /** The sequence of the configuration that the door had at its last heartbeat. */
  long configurationSequence() {
    return configurationSequence;
  }

  FeedPosition feedPosition() {
    return feedPosition;
  }
}
