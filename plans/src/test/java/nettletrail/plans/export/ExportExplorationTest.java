package nettletrail.plans.export;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.plans.ledger.Entry;
import org.junit.jupiter.api.Test;

/**
 * Export, adoption and recovery, explored: every order of what may happen within the bounds below,
 * over the real decider, ledger and reader; and long random runs beyond the bounds.
 */
class ExportExplorationTest {
  /** Uses, faults, states: all there are within the first two. */
  private static final int USES = Integer.getInteger("exploration.uses", 2);

  private static final int FAULTS = Integer.getInteger("exploration.faults", 1);
  private static final int MOST = Integer.getInteger("exploration.states", 60_000);
  private static final long NEVER = Long.MAX_VALUE / 4;

  private static ExportDecider real(ExportDecider.Actions actions) {
    return deciderThatAsks(actions, 1_000_000);
  }

  private static ExportDecider deciderThatAsks(
      ExportDecider.Actions actions, long probeIntervalNs) {
    return new ExportDecider(new ExportDecider.Terms(2, 0, 1, 1, probeIntervalNs), 1, actions);
  }

  private static ExportStateExplorer.Result explore(
      int uses,
      int faults,
      boolean forgets,
      SimulatedReceiver receiver,
      ExportSimulation.Deciders deciders)
      throws IOException {
    ExportStateExplorer.Result result =
        new ExportStateExplorer(
                () -> new ExportSimulation(uses, faults, forgets, receiver.anew(), deciders), MOST)
            .run();
    System.out.println(
        "exploration: "
            + uses
            + " uses, "
            + faults
            + " faults: "
            + result.states()
            + " states, depth "
            + result.depth()
            + ", "
            + result.wrong()
            + " "
            + result.path());
    return result;
  }

  private static ExportStateExplorer.Result explore(
      boolean forgets, SimulatedReceiver receiver, ExportSimulation.Deciders deciders)
      throws IOException {
    return explore(USES, FAULTS, forgets, receiver, deciders);
  }

  @Test
  void withinTheBoundsNoLineIsLostOrBilledTwice() throws IOException {
    Set<ExportStep> seen = EnumSet.noneOf(ExportStep.class);
    for (int[] bounds : new int[][] {{USES, FAULTS}, {1, 2}}) {
      ExportStateExplorer.Result result =
          explore(bounds[0], bounds[1], true, new SimulatedReceiver(), ExportExplorationTest::real);
      assertNull(result.wrong(), result.path().toString());
      assertTrue(result.states() < MOST, "all there are");
      seen.addAll(result.seen());
    }
    assertEquals(EnumSet.allOf(ExportStep.class), seen);
  }

  /**
   * Of an exporter that goes by its cursor alone: right where nothing is forgotten, and the ack is
   * noted after it came.
   */
  @Test
  void aCursorSavedBeforeTheAcknowledgementIsFound() throws IOException {
    ExportSimulation.Deciders withoutAsking = actions -> deciderThatAsks(actions, NEVER);
    assertNull(explore(false, new SimulatedReceiver(), withoutAsking).wrong());
    ExportStateExplorer.Result early =
        explore(
            false,
            new SimulatedReceiver(),
            actions ->
                deciderThatAsks(
                    new Through(actions) {
                      @Override
                      public void post(ExportDecider.Batch batch) {
                        to.put(new Entry.BatchAcknowledged(batch.to()));
                        to.post(batch);
                      }
                    },
                    NEVER));
    assertNotNull(early.wrong());
  }

  /** Without the question now and then, what a restored receiver lost last would stay lost. */
  @Test
  void anExporterThatNeverAsksIsFound() throws IOException {
    assertNotNull(
        explore(true, new SimulatedReceiver(), actions -> deciderThatAsks(actions, NEVER)).wrong());
  }

  @Test
  void aReceiverThatAddsWhateverComesIsFound() throws IOException {
    assertNotNull(
        explore(false, new SimulatedReceiver.AddsAll(), ExportExplorationTest::real).wrong());
  }

  @Test
  void longRandomRunsHoldToo() throws IOException {
    for (long seed = 1; seed <= 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      ExportSimulation world =
          new ExportSimulation(12, 10, true, new SimulatedReceiver(), ExportExplorationTest::real);
      for (int i = 0; i < 120; i++) {
        var steps = world.steps();
        if (steps.isEmpty()) {
          break;
        }
        world.step(steps.get(random.nextInt(steps.size())));
        assertNull(world.wrong(), "seed " + seed);
      }
      world.settle();
      assertNull(world.wrongAtTheEnd(), "seed " + seed);
    }
  }

  /** Passes on what a decider asks for. */
  private static class Through implements ExportDecider.Actions {
    final ExportDecider.Actions to;

    Through(ExportDecider.Actions to) {
      this.to = to;
    }

    @Override
    public void put(Entry.Event what) {
      to.put(what);
    }

    @Override
    public void post(ExportDecider.Batch batch) {
      to.post(batch);
    }

    @Override
    public void log(String line) {
      to.log(line);
    }
  }
}
