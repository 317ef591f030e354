package nettletrail.emulator.story;

import static nettletrail.emulator.story.Story.MILLISECOND;
import static nettletrail.emulator.story.Story.SECOND;
import static nettletrail.emulator.story.Story.machines;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import nettletrail.emulator.actors.Operator;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.fleet.CoreNode;
import nettletrail.emulator.fleet.DoorNode;
import nettletrail.emulator.simulation.Machine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A core machine that is cut off for some time, and what it says meanwhile and afterwards. */
class CutOffCoreStoriesTest {
  private static final int CORES = 3;
  private static final int DOORS = 2;
  private static final long[] CUT_SECONDS = {3, 20, 60};

  /** Which machine is cut off. */
  private enum Victim {
    OWNER {
      @Override
      CoreNode of(Story story) {
        return story.owner();
      }
    },
    REPLICA {
      @Override
      CoreNode of(Story story) {
        return story.followers().get(1);
      }
    },
    FIRST_SEED {
      @Override
      CoreNode of(Story story) {
        return story.fleet().cores().get(0);
      }
    };

    abstract CoreNode of(Story story);
  }

  /** From whom it is cut off, or that it is stopped instead. */
  private enum Cut {
    OTHER_CORES {
      @Override
      void begin(Story story, CoreNode victim) {
        story.faults().cut(List.of(victim.machine()), machines(others(story, victim)));
      }
    },
    ALL {
      @Override
      void begin(Story story, CoreNode victim) {
        OTHER_CORES.begin(story, victim);
        story.faults().cut(List.of(victim.machine()), doors(story));
      }
    },
    TO_OTHER_CORES {
      @Override
      void begin(Story story, CoreNode victim) {
        others(story, victim)
            .forEach(other -> story.faults().cutOneWay(victim.machine(), other.machine()));
      }
    },
    FROM_OTHER_CORES {
      @Override
      void begin(Story story, CoreNode victim) {
        others(story, victim)
            .forEach(other -> story.faults().cutOneWay(other.machine(), victim.machine()));
      }
    },
    WITH_RESETS {
      @Override
      void begin(Story story, CoreNode victim) {
        story.faults().resetConnections(victim.machine());
        OTHER_CORES.begin(story, victim);
      }
    },
    FREEZE {
      @Override
      void begin(Story story, CoreNode victim) {
        story.faults().freeze(victim.machine());
      }

      @Override
      void end(Story story, CoreNode victim) {
        story.faults().thaw(victim.machine());
      }
    };

    abstract void begin(Story story, CoreNode victim);

    void end(Story story, CoreNode victim) {
      story.faults().healCuts();
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
    Story story = Story.givenFleet(100 + seconds, CORES, DOORS);
    cutOnce(story, victim.of(story), cut, seconds * SECOND);
    assertComplete(story);
  }

  @ParameterizedTest
  @MethodSource("cuts")
  void givenACutThatHasHealedWhenAnotherCoreIsCutOffAtOnceThenTheSameHolds(
      Victim victim, Cut cut, long seconds) {
    Story story = Story.givenFleet(200 + seconds, CORES, DOORS);
    CoreNode first = victim.of(story);
    cutOnce(story, first, cut, seconds * SECOND);
    cutOnce(story, others(story, first).get(0), cut, seconds * SECOND);
    assertComplete(story);
  }

  /**
   * A cut with orders at the machine that is cut off: one in hand as it begins, some while it
   * lasts, one in hand as it ends; orders to all others meanwhile.
   */
  private static void cutOnce(Story story, CoreNode victim, Cut cut, long span) {
    Operator atVictim = story.fleet().addOperator();
    atVictim.read();
    story.waitFor(atVictim::isIdle);
    orderAt(story, victim, atVictim);
    story.pass(2 * MILLISECOND);
    cut.begin(story, victim);
    long end = story.fleet().time().now() + span;
    while (story.fleet().time().now() < end - SECOND) {
      callWhileCutOff(story, victim, atVictim, end - SECOND);
    }
    story.pass(Math.max(0, end - 5 * MILLISECOND - story.fleet().time().now()));
    if (atVictim.isIdle()) {
      orderAt(story, victim, atVictim);
    }
    story.pass(5 * MILLISECOND);
    cut.end(story, victim);
    story.pass(3 * SECOND);
  }

  private static void callWhileCutOff(
      Story story, CoreNode victim, Operator atVictim, long latest) {
    if (story.operator().isIdle()) {
      story.operator().order(3);
    }
    if (atVictim.isIdle()) {
      orderAt(story, victim, atVictim);
    }
    Operator reader = story.fleet().addOperator();
    reader.readAt(victim.controlAddress());
    long left = latest - story.fleet().time().now();
    story.pass(Math.max(MILLISECOND, Math.min(left, 1_500 * MILLISECOND)));
  }

  /** An order on the newest version that the operator knows, which may be old. */
  private static void orderAt(Story story, CoreNode victim, Operator operator) {
    OrderDocument document = story.fleet().orders().create(operator.newest(), 1);
    operator.sendTo(victim.controlAddress(), document);
  }

  private static void assertComplete(Story story) {
    story.waitFor(() -> story.fleet().operators().stream().allMatch(Operator::isIdle));
    story.operator().read();
    story.waitFor(story.operator()::isIdle);
    assertTrue(story.orderIsAcknowledged());
    assertSame(story.operator().newest(), story.readBack());
    assertEquals(List.of(), story.brokenPromises());
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 20, 60})
  void givenADoorThatStartsWhenItReachesTheCutOffCoreOnlyThenItUsesNothingOld(long seconds) {
    Story story = Story.givenFleet(300 + seconds, CORES, DOORS);
    CoreNode cutOff = story.fleet().cores().get(0);
    OrderDocument old = story.operator().newest();
    DoorNode door = story.door(0);
    story.faults().cut(List.of(cutOff.machine()), machines(others(story, cutOff)));
    story.faults().cut(List.of(door.machine()), machines(others(story, cutOff)));
    assertTrue(story.orderIsAcknowledged());
    story.pass(3 * SECOND);
    story.faults().kill(door.machine());
    story.faults().start(door);
    story.pass(seconds * SECOND);
    assertNull(door.process().table(), "configuration in force at a door cut off with a core");
    story.faults().healCuts();
    assertTrue(story.waitFor(() -> door.process().table() != null));
    assertTrue(story.uses(door, story.operator().newest()));
    assertNotSame(old, story.operator().newest());
    assertEquals(List.of(), story.brokenPromises());
  }

  @Test
  void givenACutOffCoreWhenADoorThatReachesAllStartsThenItNeverUsesTheOldConfiguration() {
    Story story = Story.givenFleet(400, CORES, DOORS);
    CoreNode cutOff = story.fleet().cores().get(0);
    OrderDocument old = story.operator().newest();
    DoorNode door = story.door(0);
    story.faults().cut(List.of(cutOff.machine()), machines(others(story, cutOff)));
    assertTrue(story.orderIsAcknowledged());
    story.pass(3 * SECOND);
    slowOthers(story, cutOff, door, 200 * MILLISECOND);
    story.faults().kill(door.machine());
    story.faults().start(door);
    boolean usedOld = false;
    for (int step = 0; step < 2_000; step++) {
      story.pass(MILLISECOND);
      usedOld |= story.uses(door, old);
    }
    assertTrue(!usedOld, "the push of the core that is cut off came first");
    assertTrue(story.uses(door, story.operator().newest()));
    assertEquals(List.of(), story.brokenPromises());
  }

  @Test
  void givenACutWhenBothSidesRestartTheCutOffOnesFirstThenTheNewestIsReadAndUsed() {
    Story story = Story.givenFleet(500, CORES, DOORS);
    CoreNode cutOff = story.owner();
    DoorNode door = story.door(0);
    story.faults().cut(List.of(cutOff.machine()), machines(others(story, cutOff)));
    story.faults().cut(List.of(door.machine()), machines(others(story, cutOff)));
    assertTrue(story.orderIsAcknowledged());
    story.pass(20 * SECOND);
    story.faults().kill(door.machine());
    story.faults().start(door);
    story.faults().restart(cutOff, 100 * MILLISECOND);
    story.pass(SECOND);
    others(story, cutOff).forEach(core -> story.faults().restart(core, 300 * MILLISECOND));
    story.pass(200 * MILLISECOND);
    story.faults().healCuts();
    OrderDocument newest = story.operator().newest();
    assertSame(newest, story.readBack());
    assertTrue(story.waitFor(() -> story.uses(door, newest)));
    assertComplete(story);
  }

  /** Messages between the door and the other core machines take longer. */
  private static void slowOthers(Story story, CoreNode cutOff, DoorNode door, long extra) {
    for (CoreNode other : others(story, cutOff)) {
      story.fleet().simulation().network().setExtraDelay(other.machine(), door.machine(), extra);
      story.fleet().simulation().network().setExtraDelay(door.machine(), other.machine(), extra);
    }
  }

  private static List<CoreNode> others(Story story, CoreNode core) {
    List<CoreNode> others = new ArrayList<>(story.fleet().cores());
    others.remove(core);
    return others;
  }

  private static List<Machine> doors(Story story) {
    return story.fleet().doors().stream().map(DoorNode::machine).toList();
  }
}
