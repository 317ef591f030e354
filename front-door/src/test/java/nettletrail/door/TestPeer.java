package nettletrail.door;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One end of a connection, played by a test: it writes what it is told to and reads one message at a time. */
final class TestPeer implements Closeable {
    /** A hang fails the test; no test waits for it to pass. */
    static final int TIMEOUT_MS = 10_000;

    /** What came: the first line with the headers, and the body. */
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

    /** Answers with this status line's end, headers (each ending its line) and body. */
    TestPeer answer(String status, String headers, String body) throws IOException {
        return write("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body);
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

    /** Where nobody listens on a port of the ephemeral range, the kernel may connect a socket to itself: a refusal too. */
    boolean itself() {
        return socket.getLocalPort() == socket.getPort();
    }

    /** Waits until the other side has closed; false if it sends something instead. */
    boolean ended() {
        try {
            return in.read() < 0;
        } catch (IOException e) {
            return !(e instanceof java.net.SocketTimeoutException);
        }
    }

    /** Ends its sending: the other side reads an end. */
    void shut() throws IOException {
        socket.shutdownOutput();
    }

    /** Breaks the connection, as the death of a process does. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
