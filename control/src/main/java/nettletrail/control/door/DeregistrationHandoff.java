package nettletrail.control.door;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.Backend;
import nettletrail.protocol.RegistryUpdate;

/**
 * Sends core processes the deregistrations that their feeds lack (hinted handoff). A core process
 * that lost its memory would otherwise take a delayed registration of such a backend for a new one.
 */
final class DeregistrationHandoff {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Updates of doors carry no number of their own: the core process's feed acknowledges them. */
  private static final long UNNUMBERED = 0;

  private final String door;
  private final BackendView backends;
  private long lastSentAt;

  DeregistrationHandoff(String door, BackendView backends, long now) {
    this.door = door;
    this.backends = backends;
    this.lastSentAt = now;
  }

  /** The updates that are due, at most one for each core process whose feed is followed. */
  List<DoorAction> poll(long now) {
    List<DoorAction> actions = new ArrayList<>();
    if (now - lastSentAt < INTERVAL_NANOS) {
      return actions;
    }
    lastSentAt = now;
    for (String core : backends.liveFeeds()) {
      List<Backend> missing = backends.deregistrationsMissingFrom(core, now);
      if (!missing.isEmpty()) {
        RegistryUpdate update = new RegistryUpdate(door, UNNUMBERED, missing);
        actions.add(new DoorAction.SendToCore(core, update));
      }
    }
    return actions;
  }
}
