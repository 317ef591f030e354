package nettletrail.faults;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.regex.Pattern;

/** Stages that change, repeat or reorder what passes. */
final class Garbling {
    private Garbling() { }

    /** Other values for some bytes. */
    static final class Noise extends Stage {
        Noise(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            long from = toxic.number("from", 0);
            long to = from + Math.max(1, toxic.number("bytes", 16));
            if (at + bytes.length <= from || at >= to) {
                next.take(bytes);
                return;
            }
            byte[] other = bytes.clone();
            int first = (int) Math.max(0, from - at);
            int last = (int) Math.min(bytes.length, to - at);
            for (int i = first; i < last; i++) {
                other[i] = (byte) (other[i] + 1 + random.nextInt(255));
            }
            ground.done(toxic, at + first, last - first + " bytes garbled");
            next.take(other);
        }
    }

    /** Another message in place of one, as valid HTTP/1.1 as before. Messages over a bound pass unchanged. */
    static final class Rewrite extends Stage {
        private static final Pattern STATUS = Pattern.compile("^(HTTP/1\\.[01]) \\d{3}[^\r\n]*");
        private static final Pattern LENGTH = Pattern.compile("(?im)^content-length:[ \t]*(\\d+)[ \t]*$");

        private final HttpScan scan;
        private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
        private boolean passing;

        Rewrite(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
            scan = new HttpScan(toxic.stream() == Toxic.Stream.DOWNSTREAM);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            if (passing) {
                next.take(bytes);
                return;
            }
            for (int i = 0; i < bytes.length; i++) {
                whole.write(bytes[i]);
                if (scan.next(bytes[i])) {
                    byte[] message = whole.toByteArray();
                    whole.reset();
                    long wanted = toxic.number("message", 0);
                    boolean hit = wanted == 0 || wanted == scan.message();
                    next.take(hit ? other(message, at + i + 1 - message.length) : message);
                }
            }
            if (whole.size() > MOST_HELD) {
                flush();
                passing = true;
            }
        }

        private void flush() {
            byte[] rest = whole.toByteArray();
            whole.reset();
            if (rest.length > 0) {
                next.take(rest);
            }
        }

        private byte[] other(byte[] message, long at) {
            String head = scan.head();
            byte[] body = Arrays.copyOfRange(message, head.length(), message.length);
            String mode = toxic.text("mode", "");
            byte[] made = switch (mode) {
                case "status" -> join(STATUS.matcher(head).replaceFirst("$1 " + toxic.number("status", 503) + " Other"),
                        body);
                case "length" -> join(LENGTH.matcher(head).replaceFirst(found -> "Content-Length: "
                        + Math.max(0, Long.parseLong(found.group(1)) + toxic.number("by", 1))), body);
                case "body" -> join(head, noise(body.length));
                case "second-answer" -> join(new String(message, StandardCharsets.ISO_8859_1), message);
                case "chunked" -> chunked(head, body);
                default -> message;
            };
            ground.done(toxic, at, mode);
            return made;
        }

        private byte[] noise(int length) {
            byte[] noise = new byte[length];
            for (int i = 0; i < length; i++) {
                noise[i] = (byte) ('a' + random.nextInt(26));
            }
            return noise;
        }

        /** The same body in chunks of odd sizes, with extensions and leading zeros, as RFC 9112 section 7.1 allows. */
        private byte[] chunked(String head, byte[] body) {
            if (!LENGTH.matcher(head).find()) {
                return join(head, body);
            }
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] start = LENGTH.matcher(head).replaceFirst("Transfer-Encoding: chunked")
                    .getBytes(StandardCharsets.ISO_8859_1);
            out.write(start, 0, start.length);
            for (int from = 0; from < body.length;) {
                int size = Math.min(body.length - from, 1 + random.nextInt(7));
                byte[] line = ((random.nextBoolean() ? "00" : "") + Integer.toHexString(size)
                        + (random.nextBoolean() ? ";x=1" : "") + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
                out.write(line, 0, line.length);
                out.write(body, from, size);
                out.write('\r');
                out.write('\n');
                from += size;
            }
            byte[] last = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            out.write(last, 0, last.length);
            return out.toByteArray();
        }

        private static byte[] join(String head, byte[] body) {
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] made = Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, made, start.length, body.length);
            return made;
        }

        @Override
        void end() {
            flush();
            next.end();
        }

        @Override
        void release() {
            flush();
            passing = true;
        }
    }

    /** Some pieces pass twice. */
    static final class Duplicate extends Stage {
        Duplicate(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            next.take(bytes);
            if (random.nextInt(100) < toxic.number("share", 100)) {
                ground.done(toxic, at, bytes.length + " bytes again");
                next.take(bytes.clone());
            }
        }
    }

    /** Some pieces pass behind the next one. A last piece with none behind it goes when its time is over. */
    static final class Reorder extends Stage {
        private static final long MOST_WAIT_NS = 20_000_000L;
        private byte[] kept;

        Reorder(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            if (kept != null) {
                byte[] before = kept;
                kept = null;
                ground.done(toxic, at, before.length + " bytes behind the next " + bytes.length);
                next.take(bytes);
                next.take(before);
            } else if (bytes.length > 1 && random.nextInt(100) < toxic.number("share", 100)) {
                // One piece may be all there is: then its two halves change places.
                int half = bytes.length / 2;
                kept = Arrays.copyOf(bytes, half);
                byte[] mine = kept;
                byte[] rest = Arrays.copyOfRange(bytes, half, bytes.length);
                ground.done(toxic, at, half + " bytes behind the next " + rest.length);
                next.take(rest);
                ground.after(MOST_WAIT_NS, () -> {
                    if (kept == mine) {
                        release();
                    }
                });
            } else {
                next.take(bytes);
            }
        }

        @Override
        void end() {
            release();
            next.end();
        }

        @Override
        void release() {
            byte[] rest = kept;
            kept = null;
            if (rest != null) {
                next.take(rest);
            }
        }
    }
}
