package nettletrail.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The agent's side of a connection from a discovery client. */
final class AgentConnection implements AutoCloseable {
  private static final int TIMEOUT_MS = 10_000;

  private final Socket socket;

  /** Accepts the next connection; fails the test if none is made within the timeout. */
  AgentConnection(ServerSocket agent) throws IOException {
    agent.setSoTimeout(TIMEOUT_MS);
    socket = agent.accept();
    socket.setSoTimeout(TIMEOUT_MS);
  }

  /** The first line of the next request, or "ended" if the connection was closed. */
  String readRequestLine() throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return "ended";
      }
      head.append((char) next);
    }
    return head.substring(0, head.indexOf("\r\n"));
  }

  void respond(String body) throws IOException {
    respond("200 OK", body);
  }

  void respond(String status, String body) throws IOException {
    socket
        .getOutputStream()
        .write(
            ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
