package nettletrail.faults;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Stages that hold bytes back for a time: latency, bandwidth, slow loris, slicer, stall, timeout. */
final class Timing {
    private static final long MS = 1_000_000L;

    private Timing() { }

    /** Each piece waits for its time; the next never passes it. */
    static final class Latency extends Queue {
        Latency(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            long jitter = toxic.number("jitter", 0);
            long wait = toxic.number("latency", 0) * MS + (jitter > 0 ? random.nextLong(jitter * MS) : 0);
            ground.done(toxic, at, "delayed by " + wait / MS + " ms");
            put(bytes, wait);
        }
    }

    /** Pieces that leave one after the other, each when its time has come. */
    abstract static class Queue extends Stage {
        private record Piece(byte[] bytes, long dueNs) { }

        private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
        private long lastDue;
        private int held;
        private boolean ended;
        private boolean free;
        private boolean told;

        Queue(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        /** Notes what is done to all of this direction at its first byte. */
        final void tellOnce(long at, String what) {
            if (!told) {
                told = true;
                ground.done(toxic, at, what);
            }
        }

        /** It leaves this long from now, and not before those ahead of it. */
        final void put(byte[] bytes, long waitNs) {
            if (free) {
                next.take(bytes);
                return;
            }
            long now = System.nanoTime();
            lastDue = Math.max(lastDue == 0 ? now : lastDue, now + waitNs);
            add(bytes, lastDue);
        }

        /** It leaves this long after the one ahead of it, or after now. */
        final void putBehind(byte[] bytes, long gapNs) {
            if (free) {
                next.take(bytes);
                return;
            }
            long now = System.nanoTime();
            lastDue = Math.max(lastDue == 0 ? now : lastDue, now) + gapNs;
            add(bytes, lastDue);
        }

        private void add(byte[] bytes, long due) {
            pieces.addLast(new Piece(bytes, due));
            held += bytes.length;
            if (pieces.size() == 1) {
                wake();
            }
        }

        private void wake() {
            ground.after(Math.max(0, pieces.peekFirst().dueNs() - System.nanoTime()), this::go);
        }

        private void go() {
            while (!pieces.isEmpty() && pieces.peekFirst().dueNs() - System.nanoTime() <= 0) {
                Piece first = pieces.pollFirst();
                held -= first.bytes().length;
                next.take(first.bytes());
            }
            if (!pieces.isEmpty()) {
                wake();
            } else if (ended) {
                ended = false;
                next.end();
            }
        }

        @Override
        void end() {
            if (pieces.isEmpty()) {
                next.end();
            } else {
                ended = true;
            }
        }

        @Override
        int held() {
            return held;
        }

        @Override
        void release() {
            free = true;
            while (!pieces.isEmpty()) {
                Piece first = pieces.pollFirst();
                held -= first.bytes().length;
                next.take(first.bytes());
            }
            if (ended) {
                next.end();
            }
        }
    }

    /** So many bytes a second, in pieces that take 10 ms each. */
    static final class Bandwidth extends Queue {
        Bandwidth(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            long rate = toxic.number("rate", 1) * 1_000;
            tellOnce(at, "held to " + rate + " bytes/s");
            int piece = (int) Math.max(1, Math.min(bytes.length, rate / 100));
            for (int from = 0; from < bytes.length; from += piece) {
                int to = Math.min(bytes.length, from + piece);
                putBehind(Arrays.copyOfRange(bytes, from, to), (to - from) * 1_000_000_000L / rate);
            }
        }
    }

    /** A few bytes now and then. */
    static final class SlowLoris extends Queue {
        SlowLoris(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            int piece = (int) Math.max(1, toxic.number("bytes", 1));
            tellOnce(at, piece + " bytes every " + toxic.number("every_ms", 0) + " ms");
            for (int from = 0; from < bytes.length; from += piece) {
                putBehind(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + piece)),
                        toxic.number("every_ms", 0) * MS);
            }
        }
    }

    /** Small pieces, some time apart. */
    static final class Slicer extends Queue {
        Slicer(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            long size = Math.max(1, toxic.number("average_size", 1));
            long variation = Math.min(size - 1, toxic.number("size_variation", 0));
            tellOnce(at, "in pieces of " + size + " bytes");
            for (int from = 0; from < bytes.length;) {
                long piece = size + (variation > 0 ? random.nextLong(-variation, variation + 1) : 0);
                int to = (int) Math.min(bytes.length, from + piece);
                putBehind(Arrays.copyOfRange(bytes, from, to), toxic.number("delay", 0) * 1_000);
                from = to;
            }
        }
    }

    /** Lets so many bytes pass, and then nothing; not even the end. */
    static final class Stall extends Stage {
        private byte[] kept = new byte[0];
        private boolean ended;
        private boolean free;

        Stall(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            if (free) {
                next.take(bytes);
                return;
            }
            int passes = (int) Math.max(0, Math.min(bytes.length, toxic.number("bytes", 0) - at));
            if (passes > 0) {
                next.take(Arrays.copyOf(bytes, passes));
            }
            if (passes < bytes.length) {
                if (kept.length == 0) {
                    ground.done(toxic, at + passes, "stalled");
                }
                int before = kept.length;
                kept = Arrays.copyOf(kept, before + bytes.length - passes);
                System.arraycopy(bytes, passes, kept, before, bytes.length - passes);
            }
        }

        @Override
        void end() {
            ended = true;
            if (free || offset() < toxic.number("bytes", 0)) {
                next.end();
            }
        }

        @Override
        int held() {
            return kept.length == 0 ? 0 : MOST_HELD; // from here on nothing more is read
        }

        @Override
        void release() {
            free = true;
            byte[] rest = kept;
            kept = new byte[0];
            if (rest.length > 0) {
                next.take(rest);
            }
            if (ended) {
                next.end();
            }
        }
    }

    /** Nothing passes, and then the connection ends. */
    static final class Timeout extends Stage {
        private boolean begun;
        private boolean free;

        Timeout(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void bytes(byte[] bytes, long at) {
            if (free) {
                next.take(bytes);
            } else if (!begun) {
                begun = true;
                long wait = toxic.number("timeout", 0);
                ground.done(toxic, at, "swallowed" + (wait > 0 ? ", ends in " + wait + " ms" : ""));
                if (wait > 0) {
                    ground.after(wait * MS, () -> {
                        if (!free) {
                            ground.cut(false);
                        }
                    });
                }
            }
        }

        @Override
        void end() {
            if (free) {
                next.end();
            }
        }

        @Override
        void release() {
            free = true;
        }
    }
}
