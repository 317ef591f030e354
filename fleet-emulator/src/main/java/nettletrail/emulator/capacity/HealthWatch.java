package nettletrail.emulator.capacity;

import java.util.List;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Watches a fleet for shards that change their owner and for leases that run out though their
 * holders run.
 */
final class HealthWatch {
  private static final long EVERY = 100 * VirtualTime.MILLISECOND;

  private final MeasuredFleet fleet;
  private List<String> owners;
  private int unlisted;
  private int expired;
  private int failovers;
  private int falseExpiries;

  HealthWatch(MeasuredFleet fleet) {
    this.fleet = fleet;
    this.owners = fleet.owners();
    look();
  }

  /** How many times a shard came to another owner. */
  int failovers() {
    return failovers;
  }

  /** How many running doors and backends were let expire, counted at each core process. */
  int falseExpiries() {
    return falseExpiries;
  }

  private void look() {
    List<String> now = fleet.owners();
    for (int shard = 0; shard < now.size(); shard++) {
      boolean moved = !now.get(shard).isEmpty() && !now.get(shard).equals(owners.get(shard));
      failovers += moved ? 1 : 0;
    }
    owners = keepLastKnown(now);
    int unlistedNow = fleet.unlistedBackends();
    int expiredNow = fleet.expiredDoors();
    falseExpiries += Math.max(0, unlistedNow - unlisted) + Math.max(0, expiredNow - expired);
    unlisted = unlistedNow;
    expired = expiredNow;
    fleet.time().after(EVERY, this::look);
  }

  private List<String> keepLastKnown(List<String> now) {
    List<String> kept = new java.util.ArrayList<>();
    for (int shard = 0; shard < now.size(); shard++) {
      kept.add(now.get(shard).isEmpty() ? owners.get(shard) : now.get(shard));
    }
    return kept;
  }
}
