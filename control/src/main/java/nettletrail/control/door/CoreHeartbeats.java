package nettletrail.control.door;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.DoorHeartbeat;

/**
 * Sends each linked core process its heartbeats. The configuration source gets them most often,
 * since its replies confirm the active configuration; the others only renew the door's lease there
 * and report what they know of the membership and of newer configurations.
 */
final class CoreHeartbeats {
  private static final long SOURCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * To the source while the door waits for a shard's owner or for the confirmation of its first
   * configuration. After a loss of all machines all doors wait at once, so the other core processes
   * get no more heartbeats than usual.
   */
  private static final long EXPEDITED_SOURCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long OTHERS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final DoorControlSettings settings;
  private final ConfigurationActivation activation;
  private final ConfigurationFollower follower;
  private final GrantClient grants;
  private boolean draining;

  CoreHeartbeats(
      DoorControlSettings settings,
      ConfigurationActivation activation,
      ConfigurationFollower follower,
      GrantClient grants) {
    this.settings = settings;
    this.activation = activation;
    this.follower = follower;
    this.grants = grants;
  }

  /** Heartbeats from now on announce that the door shuts down. */
  void drain() {
    draining = true;
  }

  /** The heartbeats that are due, in the order of the links. */
  List<DoorAction> poll(Collection<CoreLink> links, long now) {
    List<DoorAction> actions = new ArrayList<>();
    long sourceInterval = awaitsCore() ? EXPEDITED_SOURCE_INTERVAL_NANOS : SOURCE_INTERVAL_NANOS;
    for (CoreLink link : links) {
      long interval = follower.isSource(link) ? sourceInterval : OTHERS_INTERVAL_NANOS;
      if (link.isHeartbeatDue(interval, now)) {
        link.heartbeatSent(now);
        actions.add(new DoorAction.SendToCore(link.address(), heartbeat(link, now)));
      }
    }
    return actions;
  }

  private boolean awaitsCore() {
    return grants.ownerMissing() || activation.awaitsConfirmation();
  }

  private DoorHeartbeat heartbeat(CoreLink link, long now) {
    return new DoorHeartbeat(
        settings.door(),
        settings.zone(),
        settings.incarnation(),
        now,
        activation.newestSequence(),
        link.feed(),
        link.feedOffset(),
        draining,
        follower.isSource(link),
        link.directoryDigest());
  }
}
