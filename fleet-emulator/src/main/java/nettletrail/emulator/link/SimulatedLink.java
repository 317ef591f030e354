package nettletrail.emulator.link;

import nettletrail.emulator.simulation.Connection;
import nettletrail.emulator.simulation.Payload;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Ping;
import nettletrail.protocol.Pong;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/** One connection with a handshake, pings and an idle timeout. */
final class SimulatedLink implements Connection.Listener {
  private final SimulatedLinks owner;
  private final Connection connection;
  private final String dialledAddress;
  private Peer peer;
  private boolean closed;
  private long lastSent;
  private long lastReceived;

  /**
   * @param dialledAddress null for an accepted connection
   */
  SimulatedLink(SimulatedLinks owner, Connection connection, String dialledAddress, long now) {
    this.owner = owner;
    this.connection = connection;
    this.dialledAddress = dialledAddress;
    this.lastReceived = now;
  }

  /** Sends the hello, then listens to the peer. */
  void open(Hello hello, long now) {
    send(hello, now);
    connection.setListener(this);
  }

  /** The other end; null until its hello has arrived. */
  Peer peer() {
    return peer;
  }

  String dialledAddress() {
    return dialledAddress;
  }

  boolean isOpen() {
    return !closed;
  }

  void send(SpecificRecord message, long now) {
    lastSent = now;
    connection.send(Frame.encode(message));
  }

  void checkLiveness(long now, long idleTimeout, long pingInterval) {
    if (now - lastReceived > idleTimeout) {
      close();
    } else if (now - lastSent >= pingInterval) {
      send(new Ping(now), now);
    }
  }

  void restartIdleTimeout(long now) {
    lastReceived = now;
  }

  void close() {
    connection.close();
    closed();
  }

  @Override
  public void received(Payload payload) {
    lastReceived = owner.now();
    SpecificRecord message = ((Frame) payload).decode();
    if (message instanceof Ping || message instanceof Pong) {
      return;
    }
    if (peer != null) {
      if (!(message instanceof Hello)) {
        owner.received(this, message);
      }
      return;
    }
    Hello hello = (Hello) message;
    peer = new Peer(keyOf(hello), hello.getRole(), dialledAddress != null, hello);
    owner.up(this);
  }

  @Override
  public void closed() {
    if (!closed) {
      closed = true;
      owner.closed(this);
    }
  }

  private String keyOf(Hello hello) {
    if (dialledAddress != null) {
      return dialledAddress;
    }
    return HelloMessages.isOfDoor(hello) ? hello.getNode() : hello.getAddress();
  }
}
