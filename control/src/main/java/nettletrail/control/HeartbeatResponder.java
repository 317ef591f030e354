package nettletrail.control;

import java.util.OptionalLong;
import nettletrail.control.registry.DoorSessions;
import nettletrail.control.registry.Feed;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;

/** Replies to doors' heartbeats. Not thread-safe; instants are steady nanoseconds. */
final class HeartbeatResponder {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CoreRegistrySettings settings;
  private final ShardOwnership ownership;
  private final Feed feed;
  private final DoorSessions doors;
  private final DirectoryPublisher directories;

  HeartbeatResponder(
      CoreRegistrySettings settings, ShardOwnership ownership, Feed feed, DoorSessions doors) {
    this.settings = settings;
    this.ownership = ownership;
    this.feed = feed;
    this.doors = doors;
    this.directories = new DirectoryPublisher(settings.address(), ownership);
  }

  /** The reply; the directory is null if the door already has this one. */
  DoorHeartbeatReply reply(DoorHeartbeat heartbeat, long now) {
    OptionalLong confirmedAt = ownership.confirmedAt();
    long ageMs = confirmedAt.isPresent() ? ageMsRoundedUp(now - confirmedAt.getAsLong()) : 0;
    Directory directory = directories.directory(now);
    boolean known = heartbeat.getDirectoryDigest() == directory.getDigest();
    return new DoorHeartbeatReply(
        settings.address(),
        heartbeat.getSentAt(),
        confirmedAt.isPresent(),
        ageMs,
        ownership.configurationSequence(),
        feed.id(),
        feed.endOffset(),
        doors.liveDoors(now),
        settings.zone(),
        known ? null : directory);
  }

  /** Rounded up, so that a door never takes a confirmation for newer than it is. */
  private static long ageMsRoundedUp(long nanos) {
    return (Math.max(0, nanos) + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
  }
}
