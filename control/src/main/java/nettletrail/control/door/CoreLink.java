package nettletrail.control.door;

/** What the door knows of one core process that it dials. Times are steady nanoseconds. */
final class CoreLink {
  private final String address;
  private boolean up;
  private long changedAt;
  private long namedAt;
  private long repliedAt;
  private boolean replied;
  private long heartbeatAt;
  private boolean greeted;
  private long feed;
  private long offset;
  private int doors;

  CoreLink(String address, long now) {
    this.address = address;
    this.changedAt = now;
    this.namedAt = now;
  }

  String address() {
    return address;
  }

  boolean up() {
    return up;
  }

  void linkUp(long now) {
    up = true;
    changedAt = now;
    greeted = false;
  }

  void linkDown(long now) {
    up = false;
    changedAt = now;
    doors = 0;
  }

  /** Somebody names it as a member, or it is a seed. */
  void named(long now) {
    namedAt = now;
  }

  boolean uselessFor(long nanos, long now) {
    return !up && now - changedAt > nanos && now - namedAt > nanos;
  }

  boolean heartbeatDue(long every, long now) {
    if (!up || greeted && now - heartbeatAt < every) {
      return false;
    }
    greeted = true;
    heartbeatAt = now;
    return true;
  }

  void replied(int doorsSeen, long now) {
    replied = true;
    repliedAt = now;
    doors = doorsSeen;
  }

  boolean repliedWithin(long nanos, long now) {
    return up && replied && now - repliedAt <= nanos;
  }

  int doors() {
    return doors;
  }

  long feed() {
    return feed;
  }

  long offset() {
    return offset;
  }

  void read(long ofFeed, long upTo) {
    feed = ofFeed;
    offset = upTo;
  }
}
