package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Ping;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.link.LinkProcess.Event;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** {@link Links} with peers on plain sockets that are idle, slow or break the protocol. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BadPeerTest {
  private static final String DOOR = "counter-a-1";
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private final EnvelopeCodec codec = new EnvelopeCodec();
  private LinkProcess core;
  private Socket socket;
  private byte[] hello;

  @BeforeEach
  void connect() throws Exception {
    // Encoded first: the first use of the codec takes longer than the idle timeout on a busy
    // machine.
    hello = frame(new Hello(DOOR, "", HelloMessages.DOOR_ROLE, 1L, 1));
    LinkSettings settings = new LinkSettings(MAX_FRAME_BYTES, 100_000, 2, 50, 400, 500, 50, 500);
    core = new LinkProcess("core", "10.0.0.1:7680", "core", 1, settings);
    String address = core.listen("127.0.0.1:0");
    socket = new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)));
  }

  @AfterEach
  void disconnect() throws Exception {
    socket.close();
    core.close();
  }

  private byte[] frame(SpecificRecord body) throws ProtocolException {
    ByteBuf buffer = Unpooled.buffer();
    buffer.writeInt(0);
    codec.encode(body, buffer, DOOR);
    buffer.setInt(0, buffer.readableBytes() - Integer.BYTES);
    byte[] bytes = new byte[buffer.readableBytes()];
    buffer.readBytes(bytes);
    return bytes;
  }

  private void completeHandshake() throws Exception {
    socket.getOutputStream().write(hello);
    assertEquals(DOOR, core.next(Event.Up.class).peer().key());
  }

  /** Reads frames until the connection ends, and returns the last one. */
  private SpecificRecord lastFrame() throws Exception {
    DataInputStream input = new DataInputStream(socket.getInputStream());
    SpecificRecord last = null;
    try {
      while (true) {
        byte[] bytes = new byte[input.readInt()];
        input.readFully(bytes);
        last = codec.decode(Unpooled.wrappedBuffer(bytes), "core");
      }
    } catch (EOFException | SocketException ended) {
      return last;
    }
  }

  @Test
  void idlePeerGetsPingsUntilItsLinkIsClosed() throws Exception {
    completeHandshake();
    assertTrue(lastFrame() instanceof Ping);
    assertEquals(DOOR, core.next(Event.Down.class).peer().key());
  }

  @Test
  void peerThatNeverSaysHelloIsClosed() throws Exception {
    lastFrame();
    assertTrue(core.events.isEmpty());
  }

  @Test
  void peerThatOnlyPingsStaysUp() throws Exception {
    completeHandshake();
    OutputStream output = socket.getOutputStream();
    byte[] ping = frame(new Ping(1L));
    for (int sent = 0; sent < 20; sent++) {
      output.write(ping);
      TimeUnit.MILLISECONDS.sleep(40);
    }
    assertTrue(core.events.isEmpty());
    assertTrue(core.send(DOOR, new VersionQuery(1)));
  }

  @Test
  void oversizeFrameClosesTheLink() throws Exception {
    completeHandshake();
    socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(MAX_FRAME_BYTES + 1).array());
    core.next(Event.Down.class);
    lastFrame();
  }

  @Test
  void frameThatIsNoEnvelopeClosesTheLink() throws Exception {
    completeHandshake();
    socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(4).putInt(-1).array());
    core.next(Event.Down.class);
    lastFrame();
  }

  @Test
  void firstMessageOtherThanHelloClosesTheConnection() throws Exception {
    socket.getOutputStream().write(frame(new VersionQuery(1)));
    lastFrame();
    assertTrue(core.events.isEmpty());
  }

  @Test
  void otherProtocolVersionClosesTheConnection() throws Exception {
    socket.getOutputStream().write(frame(new Hello(DOOR, "", HelloMessages.DOOR_ROLE, 1L, 2)));
    lastFrame();
    assertTrue(core.events.isEmpty());
  }

  @Test
  void peerThatDoesNotReadIsClosedAtTheOutboundLimit() throws Exception {
    completeHandshake();
    ConfigurationChunk push =
        new ConfigurationChunk(1L, 1L, 50_000, 0, ByteBuffer.wrap(new byte[50_000]));
    boolean sent = true;
    for (int message = 0; sent && message < 10_000; message++) {
      sent = core.send(DOOR, push);
    }
    assertFalse(sent);
    core.next(Event.Down.class);
  }

  @Test
  void connectionsAboveTheLimitAreClosed() throws Exception {
    completeHandshake();
    try (Socket second = new Socket(socket.getInetAddress(), socket.getPort());
        Socket third = new Socket(socket.getInetAddress(), socket.getPort())) {
      assertTrue(new DataInputStream(second.getInputStream()).readInt() > 0, "the core's hello");
      assertEquals(-1, readOrReset(third));
    }
  }

  private static int readOrReset(Socket connection) throws IOException {
    try {
      return connection.getInputStream().read();
    } catch (SocketException reset) {
      return -1;
    }
  }
}
