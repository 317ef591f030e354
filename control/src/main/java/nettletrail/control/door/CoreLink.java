package nettletrail.control.door;

import java.util.List;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.Member;

/**
 * One core process that the door dials: the state of the link, when a heartbeat is due, and what
 * the process's replies said.
 *
 * <p>Instants and durations are nanoseconds of the steady clock.
 */
final class CoreLink {
  private final String address;
  private boolean up;
  private long linkChangedAt;
  private long lastListedAt;
  private boolean replied;
  private long lastReplyAt;
  private boolean heartbeatAtOnce = true;
  private long lastHeartbeatAt;
  private long feed;
  private long feedOffset;
  private int doorCount;
  private String zone = "";
  private long configurationSequence;
  private long directoryDigest;
  private List<String> directoryMembers = List.of();

  /** A link that isn't up yet. */
  CoreLink(String address, long now) {
    this.address = address;
    this.linkChangedAt = now;
    this.lastListedAt = now;
  }

  String address() {
    return address;
  }

  boolean isUp() {
    return up;
  }

  /** The link is established; the first heartbeat is due at once. */
  void linkUp(long now) {
    up = true;
    linkChangedAt = now;
    heartbeatAtOnce = true;
    replied = false;
  }

  /** The link is lost; the process's count of doors doesn't count any more. */
  void linkDown(long now) {
    up = false;
    linkChangedAt = now;
    doorCount = 0;
  }

  /** The settings or the directory of a core process list this address. */
  void listed(long now) {
    lastListedAt = now;
  }

  /** Whether the link has been down, and its address listed nowhere, for longer than this. */
  boolean isObsolete(long duration, long now) {
    return !up && now - linkChangedAt > duration && now - lastListedAt > duration;
  }

  /** Whether a heartbeat is due, with this interval between two of them. */
  boolean isHeartbeatDue(long interval, long now) {
    return up && (heartbeatAtOnce || now - lastHeartbeatAt >= interval);
  }

  /** A heartbeat is sent now. */
  void heartbeatSent(long now) {
    heartbeatAtOnce = false;
    lastHeartbeatAt = now;
  }

  /** Makes the next heartbeat due at once. */
  void expediteHeartbeat() {
    heartbeatAtOnce = true;
  }

  /** A reply to a heartbeat arrived. */
  void replied(DoorHeartbeatReply reply, long now) {
    replied = true;
    lastReplyAt = now;
    doorCount = reply.getDoors();
    zone = reply.getZone();
    configurationSequence = Math.max(configurationSequence, reply.getConfigurationSequence());
  }

  /** Whether the link is up and a reply arrived over it within this duration. */
  boolean repliedWithin(long duration, long now) {
    return up && replied && now - lastReplyAt <= duration;
  }

  /** A reply carried a directory that replaces the one before. */
  void directoryChanged(Directory directory) {
    directoryDigest = directory.getDigest();
    directoryMembers = directory.getCore().stream().map(Member::getAddress).toList();
  }

  /** The addresses of all core processes in the last directory. */
  List<String> directoryMembers() {
    return directoryMembers;
  }

  /** The digest of the last directory, 0 for none. */
  long directoryDigest() {
    return directoryDigest;
  }

  /** The zone of the core process, empty until its first reply. */
  String zone() {
    return zone;
  }

  /** The newest committed configuration of which a reply gave the sequence, 0 for none. */
  long configurationSequence() {
    return configurationSequence;
  }

  /** How many doors the core process sees, 0 while the link is down. */
  int doorCount() {
    return doorCount;
  }

  /** The feed that was read last, 0 for none. */
  long feed() {
    return feed;
  }

  /** The offset up to which {@link #feed} was read. */
  long feedOffset() {
    return feedOffset;
  }

  /** A feed was read up to an offset. */
  void feedRead(long readFeed, long readOffset) {
    feed = readFeed;
    feedOffset = readOffset;
  }
}
