package nettletrail.emulator.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import nettletrail.emulator.simulation.MachineClock;
import nettletrail.emulator.simulation.NetworkSettings;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import org.junit.jupiter.api.Test;

/** Messages of a process that stands still between a decision and its sending. */
class SendQueueTest {
  private static final long MILLISECOND = VirtualTime.MILLISECOND;

  private final Simulation simulation = new Simulation(1, NetworkSettings.reliable(), 0);
  private final MachineClock clock = new MachineClock(simulation.time(), 0, 0);
  private final SimulatedMachine machine =
      new SimulatedMachine("machine", "10.0.0.1", simulation.time(), clock, null);
  private final SendQueue queue = new SendQueue(machine.start(), clock::steady);
  private final List<String> sent = new ArrayList<>();

  @Test
  void messagesAreSentInTheOrderOfTheirDecisions() {
    add("first", Long.MAX_VALUE);
    queue.add(() -> sent.add("second"));
    add("third", 50 * MILLISECOND);
    simulation.time().runFor(MILLISECOND);
    assertEquals(List.of("first", "second", "third"), sent);
  }

  @Test
  void whatIsValidNoLongerAfterAFreezeIsNotSent() {
    add("holds", Long.MAX_VALUE);
    add("lease", 50 * MILLISECOND);
    machine.freeze();
    simulation.time().runFor(60 * MILLISECOND);
    machine.thaw();
    simulation.time().runFor(MILLISECOND);
    assertEquals(List.of("holds", "lease expired"), sent);
  }

  @Test
  void whatIsStillValidAfterAFreezeIsSent() {
    add("lease", 50 * MILLISECOND);
    machine.freeze();
    simulation.time().runFor(40 * MILLISECOND);
    machine.thaw();
    simulation.time().runFor(MILLISECOND);
    assertEquals(List.of("lease"), sent);
  }

  private void add(String message, long validUntil) {
    queue.add(() -> sent.add(message), () -> sent.add(message + " expired"), validUntil);
  }
}
