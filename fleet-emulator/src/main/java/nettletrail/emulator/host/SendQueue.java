package nettletrail.emulator.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import nettletrail.control.shard.CoreAction;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * What a process has decided to send and has not sent yet. A process may stand still or be frozen
 * between a decision and its sending; what is valid no longer when it goes on is not sent.
 *
 * <p>Sends in the order of {@link #add}. One thread.
 */
final class SendQueue {
  /** Between a step and the sending of its messages. */
  private static final long SEND_DELAY = VirtualTime.MILLISECOND / 10;

  private final SimulatedMachine.Incarnation incarnation;
  private final LongSupplier steadyClock;
  private final Deque<Outgoing> queue = new ArrayDeque<>();

  /** One message with what happens instead once it is valid no longer. */
  private record Outgoing(Runnable send, Runnable expire, long validUntil) {}

  /** Empty. */
  SendQueue(SimulatedMachine.Incarnation incarnation, LongSupplier steadyClock) {
    this.incarnation = incarnation;
    this.steadyClock = steadyClock;
  }

  /** Sends something that holds however late it is sent. */
  void add(Runnable send) {
    add(send, () -> {}, CoreAction.ALWAYS);
  }

  /**
   * Sends something.
   *
   * @param expire run instead of {@code send} if it is valid no longer by then
   * @param validUntil instant of the steady clock, in nanoseconds
   */
  void add(Runnable send, Runnable expire, long validUntil) {
    queue.add(new Outgoing(send, expire, validUntil));
    if (queue.size() == 1) {
      incarnation.after(SEND_DELAY, this::flush);
    }
  }

  private void flush() {
    while (!queue.isEmpty()) {
      Outgoing next = queue.poll();
      boolean valid = steadyClock.getAsLong() < next.validUntil();
      (valid ? next.send() : next.expire()).run();
    }
  }
}
