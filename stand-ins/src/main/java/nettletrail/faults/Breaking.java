package nettletrail.faults;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Stages that end a connection or one direction of it at a byte or at a place of an HTTP message. */
final class Breaking {
    private Breaking() { }

    /** Finds the byte before which a place lies. */
    private abstract static class AtPlace extends Stage {
        private final HttpScan scan;
        private final Toxic.Place place;
        private final long atByte;
        private final long message;
        private boolean reached;

        AtPlace(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
            scan = new HttpScan(toxic.stream() == Toxic.Stream.DOWNSTREAM);
            place = toxic.attributes().get("at") instanceof String text ? Toxic.place(text) : null;
            atByte = toxic.number("at", 0);
            message = toxic.number("message", 1);
        }

        @Override
        final void bytes(byte[] bytes, long at) {
            if (reached) {
                return; // what comes behind the place is nobody's
            }
            int passes = place == null ? (int) Math.min(bytes.length, Math.max(0, atByte - at)) : scan(bytes);
            boolean here = place == null ? at + bytes.length >= atByte : reachedByScan;
            if (passes > 0) {
                next.take(passes == bytes.length ? bytes : Arrays.copyOf(bytes, passes));
            }
            if (here) {
                reached = true;
                ground.done(toxic, at + passes, place == null ? "at byte " + atByte : place.text());
                reached();
            }
        }

        private boolean reachedByScan;

        /** How many of them lie before the place. */
        private int scan(byte[] bytes) {
            for (int i = 0; i < bytes.length; i++) {
                boolean first = scan.between();
                if (first && place == Toxic.Place.BEFORE_HEAD && scan.message() + 1 == message) {
                    reachedByScan = true;
                    return i;
                }
                boolean last = scan.next(bytes[i]);
                if (scan.message() != message) {
                    continue;
                }
                boolean found = switch (place) {
                    case BEFORE_HEAD -> false;
                    case INSIDE_HEAD -> scan.headBytes() == 12;
                    case AFTER_REQUEST, AFTER_ANSWER -> last;
                    case INSIDE_ANSWER -> scan.inBody() && scan.bodyBytes() >= Math.max(1, scan.bodyLength() / 2)
                            || last && scan.bodyBytes() <= 1;
                };
                if (found) {
                    reachedByScan = true;
                    return last && place == Toxic.Place.INSIDE_ANSWER ? i : i + 1;
                }
            }
            return bytes.length;
        }

        abstract void reached();

        @Override
        final void end() {
            if (!reached) {
                next.end();
            }
        }
    }

    /** Ends both connections. */
    static final class Cut extends AtPlace {
        Cut(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void reached() {
            ground.cut(toxic.text("how", "rst").equals("rst"));
        }
    }

    /** Ends this direction for its receiver; the other goes on. */
    static final class HalfClose extends AtPlace {
        HalfClose(Toxic toxic, Ground ground, SplittableRandom random) {
            super(toxic, ground, random);
        }

        @Override
        void reached() {
            ground.halfClose();
        }
    }
}
