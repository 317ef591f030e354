package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;

import java.util.List;
import java.util.Random;

/**
 * Random fault injection for a {@link SimulatedCluster}: crashes, freezes, network partitions, slow
 * links, message loss, stalled and full disks, lost disks and replaced machines. A disk or a
 * machine is lost only while all groups are complete.
 *
 * <p>Within the contract of {@code withstand.machines=1} no other machine counts as lost when a
 * disk or a machine is lost: none is faulty, or has recovered for less than its catch-up time.
 */
final class RandomFaults {

  private static final int TRANSIENT_FAULT_KINDS = 10;
  private static final int LOSS_KINDS = 3;
  private static final long CATCH_UP = millis(4000);
  private static final long MAX_SHORT_FAULT = millis(500);
  private static final long MAX_LONG_FAULT = millis(4000);

  private final SimulatedCluster cluster;
  private final Random random;
  private final long maxFaultInterval;
  private final boolean withinContract;
  private long faultsUntil;
  private long pausedUntil;
  private int losses;
  private boolean stopped;

  RandomFaults(SimulatedCluster cluster, boolean withinContract) {
    this.withinContract = withinContract;
    this.cluster = cluster;
    this.random = cluster.random();
    this.maxFaultInterval = millis(200) + randomBelow(millis(1500));
  }

  void start() {
    cluster.after(randomBelow(maxFaultInterval), this::next);
  }

  /** Ends all faults: machines run, links deliver, disks store. */
  void stop() {
    stopped = true;
    cluster.heal();
    cluster.lossRate = 0;
    cluster.duplicationRate = 0;
    cluster.maxDelay = millis(5);
    for (SimulatedCore core : cluster.cores()) {
      core.storageFails = false;
      restart(core);
    }
  }

  /** How many disks and machines were lost for good. */
  int losses() {
    return losses;
  }

  private void next() {
    if (stopped) {
      return;
    }
    if (cluster.now() >= pausedUntil) {
      draw();
    }
    cluster.after(randomBelow(maxFaultInterval), this::next);
  }

  private void draw() {
    int fault = random.nextInt(TRANSIENT_FAULT_KINDS + LOSS_KINDS);
    if (fault < TRANSIENT_FAULT_KINDS) {
      injectTransientFault(fault);
    } else if (withinContract) {
      pausedUntil = Math.max(cluster.now(), faultsUntil);
      cluster.at(pausedUntil, () -> lose(fault));
    } else {
      lose(fault);
    }
  }

  private void injectTransientFault(int kind) {
    SimulatedCore core = anyCore();
    long longest = random.nextBoolean() ? MAX_LONG_FAULT : MAX_SHORT_FAULT;
    long duration = millis(10) + randomBelow(longest);
    faultsUntil = Math.max(faultsUntil, cluster.now() + duration + CATCH_UP);
    switch (kind) {
      case 0, 1 -> crash(core, duration);
      case 2 -> crashAll();
      case 3 -> core.frozenUntil = cluster.now() + duration;
      case 4 -> core.stalledUntil = cluster.now() + duration;
      case 5 -> failStorage(core, duration);
      case 6 -> isolate(core, duration);
      case 7 -> partitionPair(core, anyCore(), duration);
      case 8 -> disturbLinks(duration);
      default -> slowLinks(duration);
    }
  }

  private void lose(int kind) {
    if (stopped || !cluster.allRun() || !cluster.groupIsComplete()) {
      return;
    }
    losses++;
    SimulatedCore core = anyCore();
    switch (kind - TRANSIENT_FAULT_KINDS) {
      case 0 -> loseDisk(core, false);
      case 1 -> loseDisk(core, true);
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
      if (!core.frozen() && random.nextInt(3) == 0) {
        core.terminate();
      } else {
        core.crash();
      }
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

  private void isolate(SimulatedCore core, long duration) {
    cluster.isolate(core);
    cluster.after(duration, cluster::heal);
  }

  private void partitionPair(SimulatedCore one, SimulatedCore other, long duration) {
    cluster.partition(one, other);
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
    cluster.maxDelay = millis(5 + random.nextInt(300));
    cluster.after(duration, () -> cluster.maxDelay = millis(5));
  }

  /** Injects no fault until a lost machine has returned and caught up. */
  private void pauseFaults(long downFor) {
    if (withinContract) {
      pausedUntil = cluster.now() + downFor + CATCH_UP;
    }
  }

  private void loseDisk(SimulatedCore core, boolean othersLosePower) {
    pauseFaults(millis(1000));
    if (othersLosePower) {
      crashAll();
    } else {
      crash(core, randomBelow(millis(1000)));
    }
    core.loseDisk();
  }

  private void replace(SimulatedCore core) {
    cluster.remove(core);
    SimulatedCore added = cluster.addCore();
    long downFor = randomBelow(millis(3000));
    pauseFaults(downFor);
    cluster.after(downFor, () -> restart(added));
  }
}
