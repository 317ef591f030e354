package nettletrail.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.Operator;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.checker.Guarantee;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.simulation.Machine;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** Each promise is broken in a whole fleet by a planted defect, and the judge sees it. */
class PlantedDefectsTest {
  private static final long SECOND = VirtualTime.SECOND;
  private static final int MAX_SEEDS = 60;

  @Test
  void disksThatDoNotSyncLoseConfigurations() {
    assertFound(Guarantee.LINEARIZABLE_CONFIGURATION, PlantedDefectsTest::withDisksThatDoNotSync);
  }

  @Test
  void disksThatDoNotSyncUseATokenTwice() {
    assertFound(Guarantee.TOKEN_USED_ONCE, PlantedDefectsTest::withDisksThatDoNotSync);
  }

  private static Fleet withDisksThatDoNotSync(long seed) {
    Fleet fleet = new Fleet(seed, FleetOptions.small());
    fleet.startAll();
    fleet.time().runFor(400 * VirtualTime.MILLISECOND);
    for (CoreNode core : fleet.cores()) {
      core.machine().disk().ignoreSyncs();
      core.machine().disk().loseAllUnsynced(true);
    }
    Operator operator = fleet.addOperator();
    operator.order(10);
    fleet.time().runFor(3 * SECOND);
    fleet.cores().forEach(core -> fleet.faults().losePower(core.machine()));
    fleet.faults().endAll();
    fleet.time().runFor(5 * SECOND);
    operator.order(10);
    fleet.time().runFor(5 * SECOND);
    fleet.checker().checkHistory();
    return fleet;
  }

  @Test
  void clocksFarApartGiveTwoOwners() {
    FleetOptions options = FleetOptions.small().withDrift(500_000);
    assertFound(
        Guarantee.ONE_OWNER,
        seed -> {
          Fleet fleet = started(seed, options);
          for (int round = 0; round < 4; round++) {
            CoreNode owner = fleet.configurationOwner();
            if (owner != null) {
              fleet.faults().cut(List.of(owner.machine()), others(fleet, owner));
            }
            fleet.time().runFor(4 * SECOND);
            fleet.faults().healCuts();
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
          Fleet fleet = started(seed, FleetOptions.small());
          CoreNode owner = fleet.configurationOwner();
          CoreNode late = fleet.cores().stream().filter(core -> core != owner).findFirst().get();
          fleet.faults().kill(late.machine());
          fleet.operators().get(0).order(1);
          fleet.time().runFor(SECOND);
          CoreNode third =
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
  void aWindowThatOwnersTakeForTenTimesAsLongBreaksTheQuota() {
    Bounds told = Bounds.typical();
    Bounds wrong = told.withQuotaWindow(told.quotaWindow() * 10);
    assertFound(
        Guarantee.QUOTA_WINDOW,
        seed -> {
          Fleet fleet = started(seed, FleetOptions.small().withTold(wrong));
          fleet.doors().forEach(door -> door.traffic().setLoad(0));
          fleet.time().runFor(30 * SECOND);
          fleet.doors().forEach(door -> door.traffic().setLoad(10 * OrderDocument.RATE_PER_SECOND));
          fleet.time().runFor(10 * SECOND);
          return fleet;
        });
  }

  @Test
  void keysThatHoldTooLongAreTakenBehindACut() {
    Bounds wrong = Bounds.typical().withRevoke(60 * SECOND);
    assertFound(
        Guarantee.REVOKED_KEY,
        seed -> {
          Fleet fleet = started(seed, FleetOptions.small().withTold(wrong));
          fleet.faults().cut(List.of(fleet.doors().get(0).machine()), cores(fleet));
          for (int order = 0; order < 3; order++) {
            fleet.operators().get(0).order(10);
            fleet.time().runFor(SECOND);
          }
          fleet.time().runFor(6 * SECOND);
          return fleet;
        });
  }

  @Test
  void aBoundThatNobodyCanKeepIsSeenBroken() {
    Bounds strict = Bounds.typical().withInForce(1).withDrain(1);
    FleetRun run =
        seed -> {
          Fleet fleet = started(seed, FleetOptions.small().withBounds(strict));
          BackendActor backend = fleet.addBackend();
          for (int order = 0; order < 10; order++) {
            fleet.operators().get(0).order(10);
            fleet.time().runFor(SECOND);
          }
          backend.close();
          fleet.time().runFor(SECOND);
          return fleet;
        };
    assertFound(Guarantee.CONFIGURATION_IN_FORCE, run);
  }

  @Test
  void aDoorThatIsCutOffUnnoticedUsesADrainedBackend() {
    assertFound(
        Guarantee.DRAINED_BACKEND,
        seed -> {
          Fleet fleet = started(seed, FleetOptions.small());
          BackendActor backend = fleet.addBackend();
          fleet.time().runFor(3 * SECOND);
          Machine door = fleet.doors().get(0).machine();
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

  /** A run that plants a defect. */
  private interface FleetRun {
    Fleet play(long seed);
  }

  private static void assertFound(Guarantee promise, FleetRun run) {
    Set<Guarantee> found = new HashSet<>();
    for (long seed = 1; seed <= MAX_SEEDS; seed++) {
      for (Violation violation : run.play(seed).checker().violations()) {
        found.add(violation.promise());
      }
      if (found.contains(promise)) {
        return;
      }
    }
    assertTrue(found.contains(promise), promise + " was not found, only " + found);
  }

  private static Fleet started(long seed, FleetOptions options) {
    Fleet fleet = new Fleet(seed, options);
    fleet.startAll();
    fleet.addOperator().order(100);
    fleet.time().runFor(5 * SECOND);
    return fleet;
  }

  private static List<Machine> cores(Fleet fleet) {
    return fleet.cores().stream().map(CoreNode::machine).toList();
  }

  private static List<Machine> others(Fleet fleet, CoreNode core) {
    List<Machine> others = new ArrayList<>(cores(fleet));
    others.remove(core.machine());
    return others;
  }

  private static void wipeButKeepIdentity(Fleet fleet, CoreNode core) {
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
