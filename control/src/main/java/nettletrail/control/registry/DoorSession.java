package nettletrail.control.registry;

import nettletrail.protocol.DoorHeartbeat;

/**
 * What this core process knows of one door: its lease, and how far it has read the feed. Times are
 * steady nanoseconds.
 */
final class DoorSession {
  private static final long MILLIS = 1_000_000L;

  /** How long a door counts as live after its last heartbeat. */
  static final long LEASE = 3_000 * MILLIS;

  /** After so long without an acknowledgement, events that were pushed are pushed again. */
  private static final long PUSH_AGAIN = 600 * MILLIS;

  private final String door;
  private String zone = "";
  private boolean draining;
  private boolean linkUp;
  private boolean greeted;
  private long leaseUntil;
  private boolean configurationSource;
  private long configurationSequence;
  private long pushedSequence;
  private long feed;
  private long acknowledgedOffset;
  private long sentOffset;
  private long feedSentAt;

  DoorSession(String door, long now) {
    this.door = door;
    this.leaseUntil = now;
    this.feedSentAt = now - LEASE;
  }

  String door() {
    return door;
  }

  /** What the door read before is unknown until its first heartbeat: it may be a new process. */
  void linkUp() {
    linkUp = true;
    greeted = false;
    configurationSource = false;
    pushedSequence = 0;
    acknowledgedOffset = 0;
  }

  void linkDown() {
    linkUp = false;
    greeted = false;
  }

  /** Renews the lease and takes over where the door stands. */
  void heartbeat(DoorHeartbeat heartbeat, long now) {
    linkUp = true;
    zone = heartbeat.getZone();
    draining = heartbeat.getDraining();
    leaseUntil = now + LEASE;
    configurationSequence = heartbeat.getConfigurationSequence();
    configurationSource = heartbeat.getConfigurationSource();
    boolean anew = !greeted || heartbeat.getFeed() != feed;
    boolean stuck =
        heartbeat.getFeedOffset() < sentOffset
            && heartbeat.getFeedOffset() == acknowledgedOffset
            && now - feedSentAt > PUSH_AGAIN;
    if (anew && !(greeted && now - feedSentAt <= PUSH_AGAIN) || stuck) {
      feed = heartbeat.getFeed();
      sentOffset = heartbeat.getFeedOffset();
      acknowledgedOffset = heartbeat.getFeedOffset();
    } else if (!anew) {
      acknowledged(heartbeat.getFeed(), heartbeat.getFeedOffset());
    }
    greeted = true;
  }

  /** The door has read the feed up to here. */
  void acknowledged(long ofFeed, long offset) {
    if (ofFeed == feed) {
      acknowledgedOffset = Math.max(acknowledgedOffset, offset);
    }
  }

  boolean live(long now) {
    return now - leaseUntil < 0;
  }

  boolean silentFor(long nanos, long now) {
    return !linkUp && now - leaseUntil > nanos;
  }

  /** The session for operators. */
  DoorStatus status(long now) {
    return new DoorStatus(
        door,
        zone,
        live(now),
        Math.max(0, leaseUntil - now) / MILLIS,
        linkUp,
        draining,
        configurationSequence,
        acknowledgedOffset);
  }

  /** Whether messages can be sent and it is known where the door stands. */
  boolean ready() {
    return linkUp && greeted;
  }

  /**
   * Whether the door should be sent the configuration with this sequence without being asked: this
   * process is its source, and none is on its way to it. Of many in quick succession those between
   * are skipped, since each is whole. Nothing is sent again: a door that misses something asks.
   */
  boolean needsConfiguration(long sequence) {
    boolean onItsWay = configurationSequence < pushedSequence;
    return ready() && configurationSource && configurationSequence < sequence && !onItsWay;
  }

  void configurationPushed(long sequence) {
    pushedSequence = sequence;
  }

  /** The newest configuration that the door held at its last heartbeat. */
  long configurationSequence() {
    return configurationSequence;
  }

  long feed() {
    return feed;
  }

  long sentOffset() {
    return sentOffset;
  }

  long acknowledgedOffset() {
    return acknowledgedOffset;
  }

  /** Whether nothing of the feed was sent since that instant, on this link. */
  boolean feedSentBefore(long instant) {
    return feedSentAt - instant <= 0;
  }

  /**
   * Offsets of two feeds don't compare: what the door read of another one is no acknowledgement.
   */
  void feedSent(long ofFeed, long offset, long now) {
    if (ofFeed != feed) {
      acknowledgedOffset = 0;
    }
    feed = ofFeed;
    sentOffset = offset;
    feedSentAt = now;
  }
}
