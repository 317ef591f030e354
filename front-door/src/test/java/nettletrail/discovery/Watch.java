package nettletrail.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An agent's end of one connection from a front door. */
final class Watch implements AutoCloseable {
    private static final int PATIENCE_MS = 10_000;

    private final Socket socket;

    /** Takes the next that comes; one that does not fails the test. */
    Watch(ServerSocket agent) throws IOException {
        agent.setSoTimeout(PATIENCE_MS);
        socket = agent.accept();
        socket.setSoTimeout(PATIENCE_MS);
    }

    /** The next call's first line, or "ended". */
    String read() throws IOException {
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

    void answer(String list) throws IOException {
        answer("200 OK", list);
    }

    void answer(String status, String body) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
