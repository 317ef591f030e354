package nettletrail.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A backend on loopback whose reads and writes are all made by the test: nothing is read in the
 * background, so that a long body stays in the sockets' buffers.
 */
final class RawBackend implements AutoCloseable {
  private static final int TIMEOUT_MS = 10_000;

  /** Small, so that the kernel accepts little of a body that is not read. */
  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

  private final String id;
  private final ServerSocket server = new ServerSocket();
  private final List<Connection> connections = new ArrayList<>();

  RawBackend(String id) throws IOException {
    this.id = id;
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.setSoTimeout(TIMEOUT_MS);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  BackendEndpoint endpoint() {
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    return new BackendEndpoint(id, address, "zone-a", 4, 0);
  }

  /** The next connection of the router; fails if there is none in time. */
  Connection accept() throws IOException {
    Connection connection = new Connection(server.accept());
    connections.add(connection);
    return connection;
  }

  @Override
  public void close() throws IOException {
    for (Connection connection : connections) {
      connection.socket.close();
    }
    server.close();
  }

  /** One connection of the router. */
  static final class Connection {
    private final Socket socket;
    private final InputStream in;

    private Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MS);
      in = socket.getInputStream();
    }

    /** Reads a request's head, its empty line included, and nothing of its body. */
    String readHead() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("closed within a head");
        }
        head.write(next);
      }
      return head.toString(StandardCharsets.ISO_8859_1);
    }

    String read(int bytes) throws IOException {
      return new String(in.readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    /** All bytes until the router closes or resets the connection. */
    String readToEnd() throws IOException {
      ByteArrayOutputStream rest = new ByteArrayOutputStream();
      byte[] buffer = new byte[64 << 10];
      try {
        for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
          rest.write(buffer, 0, size);
        }
      } catch (SocketException reset) {
        // a close as well
      }
      return rest.toString(StandardCharsets.ISO_8859_1);
    }

    void write(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Closes the sending side (FIN); the router may continue to send. */
    void finish() throws IOException {
      socket.shutdownOutput();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }
}
