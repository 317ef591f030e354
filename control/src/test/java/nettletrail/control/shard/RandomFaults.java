package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;

import java.util.List;
import java.util.Random;

/**
 * Troubles of a {@link SimulatedCluster}, drawn at random: crashes, freezes, cuts, slow links,
 * loss, stalled and full disks, and, one at a time and only while all groups are whole, lost disks
 * and machines that are replaced.
 */
final class RandomFaults {

  private static final long SHORT = millis(500);
  private static final long LONGEST = millis(4000);

  private final SimulatedCluster cluster;
  private final Random random;
  private final long longestPause;
  private boolean stopped;

  RandomFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.random = cluster.random();
    this.longestPause = millis(200) + randomBelow(millis(1500));
  }

  void start() {
    cluster.after(randomBelow(longestPause), this::next);
  }

  /** Ends all troubles: machines run, links carry, disks store. */
  void stop() {
    stopped = true;
    cluster.heal();
    cluster.lossRate = 0;
    cluster.duplicationRate = 0;
    cluster.maximumDelay = millis(5);
    for (SimulatedCore core : cluster.cores()) {
      core.storageFails = false;
      restart(core);
    }
  }

  private void next() {
    if (stopped) {
      return;
    }
    draw();
    cluster.after(randomBelow(longestPause), this::next);
  }

  private void draw() {
    SimulatedCore core = anyCore();
    long longest = random.nextBoolean() ? LONGEST : SHORT;
    long duration = millis(10) + randomBelow(longest);
    switch (random.nextInt(13)) {
      case 0, 1 -> crash(core, duration);
      case 2 -> crashAll();
      case 3 -> core.frozenUntil = cluster.now() + duration;
      case 4 -> core.stalledUntil = cluster.now() + duration;
      case 5 -> failStorage(core, duration);
      case 6 -> cutOff(core, duration);
      case 7 -> cutPair(core, anyCore(), duration);
      case 8 -> disturbLinks(duration);
      case 9 -> slowLinks(duration);
      case 10 -> loseDisk(core, false);
      case 11 -> loseDisk(core, true);
      default -> replace(core);
    }
  }

  private long randomBelow(long limit) {
    return (long) (random.nextDouble() * limit);
  }

  private SimulatedCore anyCore() {
    List<SimulatedCore> cores = cluster.cores();
    return cores.get(random.nextInt(cores.size()));
  }

  private void crash(SimulatedCore core, long duration) {
    if (core.running()) {
      core.crash();
      cluster.after(duration, () -> restart(core));
    }
  }

  private void crashAll() {
    for (SimulatedCore core : cluster.cores()) {
      crash(core, randomBelow(millis(1000)));
    }
  }

  private void restart(SimulatedCore core) {
    boolean present = cluster.core(core.address) == core;
    if (present && !core.running()) {
      core.start(cluster.seeds(), false);
    }
  }

  private void failStorage(SimulatedCore core, long duration) {
    core.storageFails = true;
    cluster.after(duration, () -> core.storageFails = false);
  }

  private void cutOff(SimulatedCore core, long duration) {
    cluster.isolate(core);
    cluster.after(duration, cluster::heal);
  }

  private void cutPair(SimulatedCore one, SimulatedCore other, long duration) {
    cluster.cut(one, other);
    cluster.after(duration, cluster::heal);
  }

  private void disturbLinks(long duration) {
    cluster.lossRate = random.nextDouble() * 0.2;
    cluster.duplicationRate = random.nextDouble() * 0.2;
    cluster.after(
        duration,
        () -> {
          cluster.lossRate = 0;
          cluster.duplicationRate = 0;
        });
  }

  private void slowLinks(long duration) {
    cluster.maximumDelay = millis(5 + random.nextInt(300));
    cluster.after(duration, () -> cluster.maximumDelay = millis(5));
  }

  private boolean mayLoseDisk() {
    return cluster.allRun() && cluster.groupIsWhole();
  }

  private void loseDisk(SimulatedCore core, boolean othersLosePower) {
    if (!mayLoseDisk()) {
      return;
    }
    if (othersLosePower) {
      crashAll();
    } else {
      crash(core, randomBelow(millis(1000)));
    }
    core.loseDisk();
  }

  private void replace(SimulatedCore core) {
    if (!mayLoseDisk()) {
      return;
    }
    cluster.remove(core);
    SimulatedCore added = cluster.addCore();
    cluster.after(randomBelow(millis(3000)), () -> restart(added));
  }
}
