package nettletrail.faults;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Follows one direction of an HTTP/1.1 connection byte by byte (RFC 9112): which message, and where in it. It takes
 * what it can't follow as a body without end. No I/O.
 */
final class HttpScan {
    private enum Part { START, HEAD, BODY, TO_THE_END, CHUNK_SIZE, CHUNK, CHUNK_LINE, TRAILERS }

    private static final int MOST_HEAD = 64 << 10;

    private final boolean answers;
    private final ByteArrayOutputStream head = new ByteArrayOutputStream();
    private Part part = Part.START;
    private int message;
    private long length;
    private long body;
    private long chunkLeft;
    private final StringBuilder line = new StringBuilder();

    /** @param answers whether it follows answers, which may have a body without a length */
    HttpScan(boolean answers) {
        this.answers = answers;
    }

    /** Number of the message that the last byte belonged to, from 1. */
    int message() {
        return message;
    }

    /** Whether the next byte is the first of a message. */
    boolean between() {
        return part == Part.START;
    }

    /** Bytes of the head so far. */
    int headBytes() {
        return head.size();
    }

    boolean inHead() {
        return part == Part.HEAD;
    }

    boolean inBody() {
        return part == Part.BODY || part == Part.TO_THE_END || part == Part.CHUNK;
    }

    /** Bytes of the body so far; chunks' lines not counted. */
    long bodyBytes() {
        return body;
    }

    /** Of the body, where a head told it; -1 for chunks and bodies without a length. */
    long bodyLength() {
        return length;
    }

    /** The head's text, once it is whole. */
    String head() {
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** Takes the next byte; true if it was the last of its message. */
    boolean next(byte value) {
        switch (part) {
            case START, HEAD -> {
                if (part == Part.START) {
                    message++;
                    head.reset();
                    body = 0;
                    length = 0;
                    part = Part.HEAD;
                }
                head.write(value);
                if (value == '\n' && endsHead()) {
                    return headIsWhole();
                }
                if (head.size() > MOST_HEAD) {
                    length = -1;
                    part = Part.TO_THE_END;
                }
                return false;
            }
            case BODY -> {
                body++;
                return body == length && ended();
            }
            case TO_THE_END -> {
                body++;
                return false;
            }
            case CHUNK_SIZE -> {
                if (value != '\n') {
                    line.append((char) value);
                    return false;
                }
                chunkLeft = size(line.toString());
                line.setLength(0);
                part = chunkLeft < 0 ? Part.TO_THE_END : chunkLeft == 0 ? Part.TRAILERS : Part.CHUNK;
                return false;
            }
            case CHUNK -> {
                body++;
                if (--chunkLeft == 0) {
                    part = Part.CHUNK_LINE;
                }
                return false;
            }
            case CHUNK_LINE -> {
                part = value == '\n' ? Part.CHUNK_SIZE : part;
                return false;
            }
            case TRAILERS -> {
                if (value != '\n') {
                    line.append((char) value);
                    return false;
                }
                boolean last = line.toString().strip().isEmpty();
                line.setLength(0);
                return last && ended();
            }
        }
        throw new IllegalStateException();
    }

    private boolean ended() {
        part = Part.START;
        return true;
    }

    private boolean endsHead() {
        byte[] bytes = head.toByteArray();
        int n = bytes.length;
        return n >= 4 && bytes[n - 2] == '\r' && bytes[n - 3] == '\n' || n >= 2 && bytes[n - 2] == '\n';
    }

    private boolean headIsWhole() {
        String text = head().toLowerCase(Locale.ROOT);
        if (answers) {
            String[] start = text.split(" ", 3);
            boolean none = start.length > 1 && (start[1].startsWith("1") || start[1].startsWith("204")
                    || start[1].startsWith("304"));
            if (none) {
                return ended();
            }
        }
        if (text.contains("\ntransfer-encoding:") && text.contains("chunked")) {
            length = -1;
            part = Part.CHUNK_SIZE;
            return false;
        }
        int at = text.indexOf("\ncontent-length:");
        if (at < 0) {
            if (answers) {
                length = -1;
                part = Part.TO_THE_END;
                return false;
            }
            return ended();
        }
        int end = text.indexOf('\n', at + 1);
        try {
            length = Long.parseLong(text.substring(at + 16, end).strip());
        } catch (NumberFormatException e) {
            length = -1;
            part = Part.TO_THE_END;
            return false;
        }
        part = Part.BODY;
        return length == 0 && ended();
    }

    private static long size(String text) {
        try {
            return Long.parseLong(text.split(";")[0].strip(), 16);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
