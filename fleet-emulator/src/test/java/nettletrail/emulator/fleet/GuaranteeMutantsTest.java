package nettletrail.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.checker.Guarantee;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** Mutants of a complete fleet, each of which violates a guarantee; the checkers must find it. */
class GuaranteeMutantsTest {
  private static final long SECOND = VirtualTime.SECOND;
  private static final int MAX_SEEDS = 60;

  @Test
  void disksThatDoNotSyncLoseConfigurations() {
    assertFound(Guarantee.LINEARIZABLE_CONFIGURATION, GuaranteeMutantsTest::withDisksThatDoNotSync);
  }

  @Test
  void disksThatDoNotSyncUseATokenTwice() {
    assertFound(Guarantee.FENCING_TOKEN_UNIQUE, GuaranteeMutantsTest::withDisksThatDoNotSync);
  }

  private static EmulatedFleet withDisksThatDoNotSync(long seed) {
    EmulatedFleet fleet = new EmulatedFleet(seed, FleetOptions.small());
    fleet.startAll();
    fleet.time().runFor(400 * VirtualTime.MILLISECOND);
    for (CoreMachine core : fleet.cores()) {
      core.machine().disk().ignoreSyncs();
      core.machine().disk().loseAllUnsynced();
    }
    OperatorActor operator = fleet.addOperator();
    operator.submitChange(10);
    fleet.time().runFor(3 * SECOND);
    fleet.cores().forEach(core -> fleet.faults().losePower(core.machine()));
    fleet.faults().repairAll();
    fleet.time().runFor(5 * SECOND);
    operator.submitChange(10);
    fleet.time().runFor(5 * SECOND);
    fleet.checker().checkHistory();
    return fleet;
  }

  @Test
  void clocksWithLargeDriftGiveTwoOwners() {
    FleetOptions options = FleetOptions.small().withDrift(500_000);
    assertFound(
        Guarantee.SINGLE_OWNER,
        seed -> {
          EmulatedFleet fleet = started(seed, options);
          for (int round = 0; round < 4; round++) {
            CoreMachine owner = fleet.configurationOwner();
            if (owner != null) {
              fleet.networkFaults().partition(List.of(owner.machine()), others(fleet, owner));
            }
            fleet.time().runFor(4 * SECOND);
            fleet.networkFaults().healPartitions();
            fleet.time().runFor(2 * SECOND);
          }
          return fleet;
        });
  }

  @Test
  void anIdentityThatOutlivesItsDiskLosesConfigurations() {
    assertFound(
        Guarantee.LINEARIZABLE_CONFIGURATION,
        seed -> {
          EmulatedFleet fleet = started(seed, FleetOptions.small());
          CoreMachine owner = fleet.configurationOwner();
          CoreMachine late = fleet.cores().stream().filter(core -> core != owner).findFirst().get();
          fleet.faults().kill(late.machine());
          fleet.operators().get(0).submitChange(1);
          fleet.time().runFor(SECOND);
          CoreMachine third =
              fleet.cores().stream()
                  .filter(core -> core != owner && core != late)
                  .findFirst()
                  .get();
          fleet.faults().losePower(third.machine());
          wipeButKeepIdentity(fleet, owner);
          fleet.faults().start(late);
          fleet.time().runFor(6 * SECOND);
          fleet.operators().get(0).read();
          fleet.time().runFor(3 * SECOND);
          fleet.checker().checkHistory();
          return fleet;
        });
  }

  @Test
  void aTenfoldQuotaWindowAtOwnersViolatesTheQuota() {
    GuaranteeLimits correct = GuaranteeLimits.typical();
    GuaranteeLimits wrong = correct.withQuotaWindow(correct.quotaWindowNanos() * 10);
    assertFound(
        Guarantee.QUOTA_WINDOW,
        seed -> {
          EmulatedFleet fleet = started(seed, FleetOptions.small().withConfiguredLimits(wrong));
          fleet.doors().forEach(door -> door.traffic().setLoad(0));
          fleet.time().runFor(30 * SECOND);
          fleet
              .doors()
              .forEach(door -> door.traffic().setLoad(10 * ChangeDocument.RATE_PER_SECOND));
          fleet.time().runFor(10 * SECOND);
          return fleet;
        });
  }

  @Test
  void keysValidForTooLongAreAcceptedBehindAPartition() {
    GuaranteeLimits wrong = GuaranteeLimits.typical().withKeyRevocation(60 * SECOND);
    assertFound(
        Guarantee.KEY_REVOKED,
        seed -> {
          EmulatedFleet fleet = started(seed, FleetOptions.small().withConfiguredLimits(wrong));
          fleet.networkFaults().partition(List.of(fleet.doors().get(0).machine()), cores(fleet));
          for (int submitChange = 0; submitChange < 3; submitChange++) {
            fleet.operators().get(0).submitChange(10);
            fleet.time().runFor(SECOND);
          }
          fleet.time().runFor(6 * SECOND);
          return fleet;
        });
  }

  @Test
  void aLimitThatCannotBeKeptIsViolated() {
    GuaranteeLimits strict = GuaranteeLimits.typical().withActivation(1).withDrain(1);
    FleetRun run =
        seed -> {
          EmulatedFleet fleet = started(seed, FleetOptions.small().withCheckedLimits(strict));
          BackendActor backend = fleet.addBackend();
          for (int submitChange = 0; submitChange < 10; submitChange++) {
            fleet.operators().get(0).submitChange(10);
            fleet.time().runFor(SECOND);
          }
          backend.close();
          fleet.time().runFor(SECOND);
          return fleet;
        };
    assertFound(Guarantee.CONFIGURATION_ACTIVATED, run);
  }

  @Test
  void aDoorWithUnrecordedLatencyUsesADrainedBackend() {
    assertFound(
        Guarantee.BACKEND_DRAINED,
        seed -> {
          EmulatedFleet fleet = started(seed, FleetOptions.small());
          BackendActor backend = fleet.addBackend();
          fleet.time().runFor(3 * SECOND);
          SimulatedMachine door = fleet.doors().get(0).machine();
          fleet
              .cores()
              .forEach(
                  core ->
                      fleet
                          .simulation()
                          .network()
                          .setExtraDelay(core.machine(), door, 30 * SECOND));
          backend.close();
          fleet.time().runFor(10 * SECOND);
          return fleet;
        });
  }

  /** A run of a mutant. */
  private interface FleetRun {
    EmulatedFleet play(long seed);
  }

  private static void assertFound(Guarantee guarantee, FleetRun run) {
    Set<Guarantee> found = new HashSet<>();
    for (long seed = 1; seed <= MAX_SEEDS; seed++) {
      for (Violation violation : run.play(seed).checker().violations()) {
        found.add(violation.guarantee());
      }
      if (found.contains(guarantee)) {
        return;
      }
    }
    assertTrue(found.contains(guarantee), guarantee + " was not found, only " + found);
  }

  private static EmulatedFleet started(long seed, FleetOptions options) {
    EmulatedFleet fleet = new EmulatedFleet(seed, options);
    fleet.startAll();
    fleet.addOperator().submitChange(100);
    fleet.time().runFor(5 * SECOND);
    return fleet;
  }

  private static List<SimulatedMachine> cores(EmulatedFleet fleet) {
    return fleet.cores().stream().map(CoreMachine::machine).toList();
  }

  private static List<SimulatedMachine> others(EmulatedFleet fleet, CoreMachine core) {
    List<SimulatedMachine> others = new ArrayList<>(cores(fleet));
    others.remove(core.machine());
    return others;
  }

  private static void wipeButKeepIdentity(EmulatedFleet fleet, CoreMachine core) {
    SimulatedDisk disk = core.machine().disk();
    try {
      byte[] identity = disk.read("identity");
      fleet.faults().wipe(core);
      disk.create("identity");
      disk.append("identity", identity);
      disk.sync("identity");
      disk.syncFolder("");
      fleet.time().runUntil(disk.busyUntil());
      fleet.faults().start(core);
    } catch (IOException unreadable) {
      throw new IllegalStateException(unreadable);
    }
  }
}
