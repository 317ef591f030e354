package nettletrail.door;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * One end of a connection, driven by a test: writes given text and reads one HTTP message at a
 * time.
 */
final class TestPeer implements Closeable {
  /** Limit for each wait: a hang fails the test. No passing test waits this long. */
  static final int TIMEOUT_MS = 10_000;

  /** A received message: the start line with the headers, and the body. */
  record Message(String head, String body) {
    String start() {
      return head.substring(0, head.indexOf("\r\n"));
    }

    int status() {
      return Integer.parseInt(head.split(" ")[1]);
    }

    /** The header's value, or null. */
    String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
          return line.substring(name.length() + 1).strip();
        }
      }
      return null;
    }
  }

  private final Socket socket;
  private final InputStream in;

  TestPeer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static TestPeer connect(InetSocketAddress to) throws IOException {
    return new TestPeer(new Socket(to.getAddress(), to.getPort()));
  }

  int port() {
    return socket.getLocalPort();
  }

  static TestPeer accept(ServerSocket listening) throws IOException {
    listening.setSoTimeout(TIMEOUT_MS);
    return new TestPeer(listening.accept());
  }

  TestPeer write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  /** Sends a response with this status, headers (each with its line end) and body. */
  TestPeer answer(String status, String headers, String body) throws IOException {
    return write(
        "HTTP/1.1 "
            + status
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n"
            + headers
            + "\r\n"
            + body);
  }

  Message read() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended after '" + head + "'");
      }
      head.append((char) next);
    }
    Message bare = new Message(head.toString(), "");
    String length = bare.header("Content-Length");
    byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
    return new Message(bare.head(), new String(body, StandardCharsets.ISO_8859_1));
  }

  /**
   * Whether the kernel connected the socket to itself, which can happen on an ephemeral port
   * without a listener; this counts as refused.
   */
  boolean isSelfConnected() {
    return socket.getLocalPort() == socket.getPort();
  }

  /** Waits until the other side has closed; false if it sends something instead. */
  boolean isClosedByPeer() {
    try {
      return in.read() < 0;
    } catch (IOException e) {
      return !(e instanceof java.net.SocketTimeoutException);
    }
  }

  /** Closes the output: the other side reads an end of stream. */
  void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Resets the connection, as when a process is killed. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
