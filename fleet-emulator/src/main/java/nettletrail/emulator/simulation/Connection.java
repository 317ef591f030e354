package nettletrail.emulator.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One process's end of a connection. Messages arrive in order or not at all. The listener is called
 * in steps of the process, so a frozen process is called after it was thawed.
 */
public final class Connection {
  /** Receives the events of one end of a connection. */
  public interface Listener {
    /** A message arrived. */
    void received(Payload payload);

    /**
     * The connection has ended, by either side. Called at most once, and not after {@link
     * Connection#close} at this end.
     */
    void closed();
  }

  private final SimulatedMachine.Incarnation incarnation;
  private Pipe outgoing;
  private Connection peer;
  private Listener listener;
  private boolean open = true;

  /** Messages that arrived before a listener was set. */
  private final Deque<Payload> pending = new ArrayDeque<>();

  private boolean endPending;

  Connection(SimulatedMachine.Incarnation incarnation) {
    this.incarnation = incarnation;
  }

  static void join(Connection one, Connection other, Pipe oneToOther, Pipe otherToOne) {
    one.peer = other;
    other.peer = one;
    one.outgoing = oneToOther;
    other.outgoing = otherToOne;
  }

  /** Sets the listener and passes on the events since the connection was established. */
  public void setListener(Listener newListener) {
    listener = newListener;
    while (!pending.isEmpty()) {
      listener.received(pending.poll());
    }
    if (endPending) {
      listener.closed();
    }
  }

  /** True until this end knows that the connection has ended. */
  public boolean isOpen() {
    return open;
  }

  /** The process at this end. */
  public SimulatedMachine.Incarnation incarnation() {
    return incarnation;
  }

  /** Sends a message; without effect on a connection that has ended. */
  public void send(Payload payload) {
    if (open) {
      outgoing.send(payload);
    }
  }

  /** Ends the connection; the peer is notified after all messages sent before. */
  public void close() {
    if (open) {
      open = false;
      outgoing.finish();
    }
  }

  /** Ends the connection at once; messages in flight in either direction are lost. */
  void reset() {
    outgoing.discard();
    peer.outgoing.discard();
    endFromOutside();
    outgoing.finish();
  }

  /** The process at this end has ended: some of the messages sent may still arrive. */
  void abandon(SimulatedMachine.End end) {
    open = false;
    outgoing.truncate();
    if (end == SimulatedMachine.End.KILL) {
      outgoing.finish();
    }
  }

  void deliver(Payload payload) {
    if (open) {
      incarnation.run(() -> receive(payload));
    } else if (incarnation.machine().isPowered()) {
      peer.refusedByPeer();
    }
  }

  private void receive(Payload payload) {
    if (!open) {
      return;
    }
    if (listener == null) {
      pending.add(payload);
    } else {
      listener.received(payload);
    }
  }

  /** The peer's machine answers with a reset, since it does not know the connection. */
  private void refusedByPeer() {
    if (open) {
      outgoing.discard();
      endFromOutside();
    }
  }

  void endFromOutside() {
    incarnation.run(this::endNow);
  }

  private void endNow() {
    if (open) {
      open = false;
      endPending = listener == null;
      if (listener != null) {
        listener.closed();
      }
    }
  }
}
