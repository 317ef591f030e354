package nettletrail.emulator.scenario;

import static nettletrail.emulator.scenario.Scenario.MILLISECOND;
import static nettletrail.emulator.scenario.Scenario.SECOND;
import static nettletrail.emulator.scenario.Scenario.machines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.OperatorActor;
import nettletrail.emulator.fleet.CoreMachine;
import nettletrail.emulator.fleet.DoorMachine;
import nettletrail.emulator.simulation.Machine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A core machine that is cut off for some time, and what it says meanwhile and afterwards. */
class IsolatedCoreScenariosTest {
  private static final int CORES = 3;
  private static final int DOORS = 2;
  private static final long[] CUT_SECONDS = {3, 20, 60};

  /** Which machine is cut off. */
  private enum Victim {
    OWNER {
      @Override
      CoreMachine of(Scenario scenario) {
        return scenario.owner();
      }
    },
    REPLICA {
      @Override
      CoreMachine of(Scenario scenario) {
        return scenario.followers().get(1);
      }
    },
    FIRST_SEED {
      @Override
      CoreMachine of(Scenario scenario) {
        return scenario.fleet().cores().get(0);
      }
    };

    abstract CoreMachine of(Scenario scenario);
  }

  /** From whom it is cut off, or that it is stopped instead. */
  private enum Cut {
    OTHER_CORES {
      @Override
      void begin(Scenario scenario, CoreMachine victim) {
        scenario.faults().cut(List.of(victim.machine()), machines(others(scenario, victim)));
      }
    },
    ALL {
      @Override
      void begin(Scenario scenario, CoreMachine victim) {
        OTHER_CORES.begin(scenario, victim);
        scenario.faults().cut(List.of(victim.machine()), doors(scenario));
      }
    },
    TO_OTHER_CORES {
      @Override
      void begin(Scenario scenario, CoreMachine victim) {
        others(scenario, victim)
            .forEach(other -> scenario.faults().partitionOneWay(victim.machine(), other.machine()));
      }
    },
    FROM_OTHER_CORES {
      @Override
      void begin(Scenario scenario, CoreMachine victim) {
        others(scenario, victim)
            .forEach(other -> scenario.faults().partitionOneWay(other.machine(), victim.machine()));
      }
    },
    WITH_RESETS {
      @Override
      void begin(Scenario scenario, CoreMachine victim) {
        scenario.faults().resetConnections(victim.machine());
        OTHER_CORES.begin(scenario, victim);
      }
    },
    FREEZE {
      @Override
      void begin(Scenario scenario, CoreMachine victim) {
        scenario.faults().freeze(victim.machine());
      }

      @Override
      void end(Scenario scenario, CoreMachine victim) {
        scenario.faults().thaw(victim.machine());
      }
    };

    abstract void begin(Scenario scenario, CoreMachine victim);

    void end(Scenario scenario, CoreMachine victim) {
      scenario.faults().healPartitions();
    }
  }

  static Stream<Arguments> cuts() {
    List<Arguments> cases = new ArrayList<>();
    for (Victim victim : Victim.values()) {
      for (Cut cut : Cut.values()) {
        for (long seconds : CUT_SECONDS) {
          cases.add(Arguments.of(victim, cut, seconds));
        }
      }
    }
    return cases.stream();
  }

  @ParameterizedTest
  @MethodSource("cuts")
  void givenACutOffCoreWhenOperatorsCallItThenNothingOldIsReadAndNothingRefusedOrLost(
      Victim victim, Cut cut, long seconds) {
    Scenario scenario = Scenario.givenFleet(100 + seconds, CORES, DOORS);
    cutOnce(scenario, victim.of(scenario), cut, seconds * SECOND);
    assertComplete(scenario);
  }

  @ParameterizedTest
  @MethodSource("cuts")
  void givenACutThatHasHealedWhenAnotherCoreIsCutOffAtOnceThenTheSameHolds(
      Victim victim, Cut cut, long seconds) {
    Scenario scenario = Scenario.givenFleet(200 + seconds, CORES, DOORS);
    CoreMachine first = victim.of(scenario);
    cutOnce(scenario, first, cut, seconds * SECOND);
    cutOnce(scenario, others(scenario, first).get(0), cut, seconds * SECOND);
    assertComplete(scenario);
  }

  /**
   * A cut with orders at the machine that is cut off: one in hand as it begins, some while it
   * lasts, one in hand as it ends; orders to all others meanwhile.
   */
  private static void cutOnce(Scenario scenario, CoreMachine victim, Cut cut, long span) {
    OperatorActor atVictim = scenario.fleet().addOperator();
    atVictim.read();
    scenario.waitFor(atVictim::isIdle);
    orderAt(scenario, victim, atVictim);
    scenario.pass(2 * MILLISECOND);
    cut.begin(scenario, victim);
    long end = scenario.fleet().time().now() + span;
    while (scenario.fleet().time().now() < end - SECOND) {
      callWhileCutOff(scenario, victim, atVictim, end - SECOND);
    }
    scenario.pass(Math.max(0, end - 5 * MILLISECOND - scenario.fleet().time().now()));
    if (atVictim.isIdle()) {
      orderAt(scenario, victim, atVictim);
    }
    scenario.pass(5 * MILLISECOND);
    cut.end(scenario, victim);
    scenario.pass(3 * SECOND);
  }

  private static void callWhileCutOff(
      Scenario scenario, CoreMachine victim, OperatorActor atVictim, long latest) {
    if (scenario.operator().isIdle()) {
      scenario.operator().submitChange(3);
    }
    if (atVictim.isIdle()) {
      orderAt(scenario, victim, atVictim);
    }
    OperatorActor reader = scenario.fleet().addOperator();
    reader.readAt(victim.controlAddress());
    long left = latest - scenario.fleet().time().now();
    scenario.pass(Math.max(MILLISECOND, Math.min(left, 1_500 * MILLISECOND)));
  }

  /** An order on the newest version that the operator knows, which may be old. */
  private static void orderAt(Scenario scenario, CoreMachine victim, OperatorActor operator) {
    ChangeDocument document = scenario.fleet().changes().create(operator.newest(), 1);
    operator.submitTo(victim.controlAddress(), document);
  }

  private static void assertComplete(Scenario scenario) {
    scenario.waitFor(() -> scenario.fleet().operators().stream().allMatch(OperatorActor::isIdle));
    scenario.operator().read();
    scenario.waitFor(scenario.operator()::isIdle);
    assertTrue(scenario.changeIsAcknowledged());
    assertSame(scenario.operator().newest(), scenario.readBack());
    assertEquals(List.of(), scenario.violations());
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 20, 60})
  void givenADoorThatStartsWhenItReachesTheCutOffCoreOnlyThenItUsesNothingOld(long seconds) {
    Scenario scenario = Scenario.givenFleet(300 + seconds, CORES, DOORS);
    CoreMachine cutOff = scenario.fleet().cores().get(0);
    ChangeDocument old = scenario.operator().newest();
    DoorMachine door = scenario.door(0);
    scenario.faults().cut(List.of(cutOff.machine()), machines(others(scenario, cutOff)));
    scenario.faults().cut(List.of(door.machine()), machines(others(scenario, cutOff)));
    assertTrue(scenario.changeIsAcknowledged());
    scenario.pass(3 * SECOND);
    scenario.faults().kill(door.machine());
    scenario.faults().start(door);
    scenario.pass(seconds * SECOND);
    assertNull(door.process().table(), "configuration in force at a door cut off with a core");
    scenario.faults().healPartitions();
    assertTrue(scenario.waitFor(() -> door.process().table() != null));
    assertTrue(scenario.uses(door, scenario.operator().newest()));
    assertNotSame(old, scenario.operator().newest());
    assertEquals(List.of(), scenario.violations());
  }

  @Test
  void givenACutOffCoreWhenADoorThatReachesAllStartsThenItNeverUsesTheOldConfiguration() {
    Scenario scenario = Scenario.givenFleet(400, CORES, DOORS);
    CoreMachine cutOff = scenario.fleet().cores().get(0);
    ChangeDocument old = scenario.operator().newest();
    DoorMachine door = scenario.door(0);
    scenario.faults().cut(List.of(cutOff.machine()), machines(others(scenario, cutOff)));
    assertTrue(scenario.changeIsAcknowledged());
    scenario.pass(3 * SECOND);
    slowOthers(scenario, cutOff, door, 200 * MILLISECOND);
    scenario.faults().kill(door.machine());
    scenario.faults().start(door);
    boolean usedOld = false;
    for (int step = 0; step < 2_000; step++) {
      scenario.pass(MILLISECOND);
      usedOld |= scenario.uses(door, old);
    }
    assertTrue(!usedOld, "the push of the core that is cut off came first");
    assertTrue(scenario.uses(door, scenario.operator().newest()));
    assertEquals(List.of(), scenario.violations());
  }

  @Test
  void givenACutWhenBothSidesRestartTheCutOffOnesFirstThenTheNewestIsReadAndUsed() {
    Scenario scenario = Scenario.givenFleet(500, CORES, DOORS);
    CoreMachine cutOff = scenario.owner();
    DoorMachine door = scenario.door(0);
    scenario.faults().cut(List.of(cutOff.machine()), machines(others(scenario, cutOff)));
    scenario.faults().cut(List.of(door.machine()), machines(others(scenario, cutOff)));
    assertTrue(scenario.changeIsAcknowledged());
    scenario.pass(20 * SECOND);
    scenario.faults().kill(door.machine());
    scenario.faults().start(door);
    scenario.faults().restart(cutOff, 100 * MILLISECOND);
    scenario.pass(SECOND);
    others(scenario, cutOff).forEach(core -> scenario.faults().restart(core, 300 * MILLISECOND));
    scenario.pass(200 * MILLISECOND);
    scenario.faults().healPartitions();
    ChangeDocument newest = scenario.operator().newest();
    assertSame(newest, scenario.readBack());
    assertTrue(scenario.waitFor(() -> scenario.uses(door, newest)));
    assertComplete(scenario);
  }

  /** Messages between the door and the other core machines take longer. */
  private static void slowOthers(
      Scenario scenario, CoreMachine cutOff, DoorMachine door, long extra) {
    for (CoreMachine other : others(scenario, cutOff)) {
      scenario.fleet().simulation().network().setExtraDelay(other.machine(), door.machine(), extra);
      scenario.fleet().simulation().network().setExtraDelay(door.machine(), other.machine(), extra);
    }
  }

  private static List<CoreMachine> others(Scenario scenario, CoreMachine core) {
    List<CoreMachine> others = new ArrayList<>(scenario.fleet().cores());
    others.remove(core);
    return others;
  }

  private static List<Machine> doors(Scenario scenario) {
    return scenario.fleet().doors().stream().map(DoorMachine::machine).toList();
  }
}
