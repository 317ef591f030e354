package nettletrail.emulator.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** The control thread and the link of a measured process. */
class MeasuredProcessTest {
  private final VirtualTime time = new VirtualTime();
  private final MeasuredProcess process = new MeasuredProcess(time, "door", 0);

  @Test
  void givenALongStepWhenAnotherIsSubmittedThenItWaitsForTheThread() {
    List<Long> startedAt = new ArrayList<>();
    process.start();
    process.submit(() -> process.charge(30 * VirtualTime.MILLISECOND));
    process.submit(() -> startedAt.add(time.now()));

    time.runFor(VirtualTime.SECOND);

    assertTrue(startedAt.get(0) >= 30 * VirtualTime.MILLISECOND, "started at " + startedAt);
    assertTrue(process.usage().cpuNs() >= 30 * VirtualTime.MILLISECOND);
  }

  @Test
  void givenTwoFramesWhenTheyAreTransmittedThenTheSecondLeavesAfterTheFirst() {
    process.start();
    int bytes = (int) (MeasuredProcess.LINK_BITS_PER_S / 8 / 10);

    long first = process.transmit(bytes);
    long second = process.transmit(bytes);

    assertEquals(VirtualTime.SECOND / 10, first);
    assertEquals(VirtualTime.SECOND / 5, second);
    assertEquals(2L * bytes, process.takeMaxQueuedBytes());
  }

  @Test
  void givenAnEndedProcessWhenItsTimersComeDueThenNothingRuns() {
    List<Long> ran = new ArrayList<>();
    process.start();
    process.after(VirtualTime.MILLISECOND, () -> ran.add(time.now()));
    process.end();
    process.start();

    time.runFor(VirtualTime.SECOND);

    assertTrue(ran.isEmpty());
  }
}
