package nettletrail.control.door;

import java.util.List;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.Member;

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
  private String zone = "";
  private long configurationSequence;
  private long directoryDigest;
  private List<String> directoryMembers = List.of();

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
    replied = false;
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

  /** The next heartbeat is due at once. */
  void hurryHeartbeat() {
    greeted = false;
  }

  void replied(DoorHeartbeatReply reply, long now) {
    replied = true;
    repliedAt = now;
    doors = reply.getDoors();
    zone = reply.getZone();
    configurationSequence = Math.max(configurationSequence, reply.getConfigurationSequence());
  }

  /** The core process told another directory. */
  void told(Directory directory) {
    directoryDigest = directory.getDigest();
    directoryMembers = directory.getCore().stream().map(Member::getAddress).toList();
  }

  /** The addresses of all core processes that this one knows. */
  List<String> directoryMembers() {
    return directoryMembers;
  }

  /** The zone that the core process stands in, empty while it isn't known. */
  String zone() {
    return zone;
  }

  /** The newest configuration that the core process named, 0 for none. */
  long configurationSequence() {
    return configurationSequence;
  }

  /** The digest of the directory that it told last, 0 for none. */
  long directoryDigest() {
    return directoryDigest;
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
