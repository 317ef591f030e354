package nettletrail.emulator.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One process's end of a connection. Messages arrive in their order or not at all. What the
 * listener hears comes as steps of the process, so a frozen process hears it after it was thawed.
 */
public final class Connection {
  /** Told what happens at one end of a connection. */
  public interface Listener {
    /** A message came. */
    void received(Payload payload);

    /**
     * The connection has ended, by whichever side. Told once, and not for an end made by {@link
     * Connection#close}.
     */
    void closed();
  }

  private final Machine.Incarnation incarnation;
  private Pipe outgoing;
  private Connection peer;
  private Listener listener;
  private boolean open = true;

  /** What came before there was a listener. */
  private final Deque<Payload> pending = new ArrayDeque<>();

  private boolean endPending;

  Connection(Machine.Incarnation incarnation) {
    this.incarnation = incarnation;
  }

  static void join(Connection one, Connection other, Pipe oneToOther, Pipe otherToOne) {
    one.peer = other;
    other.peer = one;
    one.outgoing = oneToOther;
    other.outgoing = otherToOne;
  }

  /** Sets who hears what happens, and has happened since the connection came up. */
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
  public Machine.Incarnation incarnation() {
    return incarnation;
  }

  /** Sends a message; without effect on a connection that has ended. */
  public void send(Payload payload) {
    if (open) {
      outgoing.send(payload);
    }
  }

  /** Ends the connection; the peer hears of it after what was sent before. */
  public void close() {
    if (open) {
      open = false;
      outgoing.finish();
    }
  }

  /** Ends the connection at once, with the loss of what has not arrived in either direction. */
  void reset() {
    outgoing.discard();
    peer.outgoing.discard();
    endFromOutside();
    outgoing.finish();
  }

  /** The process at this end is gone: what was sent may still arrive, in part. */
  void abandon(Machine.End end) {
    open = false;
    outgoing.truncate();
    if (end == Machine.End.KILL) {
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

  /** The peer's machine says that it knows no such connection. */
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
