package nettletrail.faults;

import java.util.SplittableRandom;

/**
 * One toxic on one direction of one connection. Bytes come in and go on to the next stage, now or later; nothing is
 * reordered unless that is what the stage is for. On the connection's event loop.
 */
abstract class Stage {
    /** What a stage may do beyond passing bytes on. */
    interface Ground {
        /** Runs later, unless the connection is gone. */
        void after(long ns, Runnable what);

        /** Notes a fault that is done now. */
        void done(Toxic toxic, long offset, String what);

        /** Ends both connections, with a reset or a FIN. */
        void cut(boolean reset);

        /** The receiver of this direction sees its end; what comes further is dropped. */
        void halfClose();
    }

    /** Kilobytes that a stage may hold back; more are not read from their sender. */
    static final int MOST_HELD = 1 << 20;

    protected final Toxic toxic;
    protected final Ground ground;
    protected final SplittableRandom random;
    protected Stage next;
    private long offset;

    Stage(Toxic toxic, Ground ground, SplittableRandom random) {
        this.toxic = toxic;
        this.ground = ground;
        this.random = random;
    }

    /** Bytes that came in so far. */
    final long offset() {
        return offset;
    }

    final void take(byte[] bytes) {
        long before = offset;
        offset += bytes.length;
        bytes(bytes, before);
    }

    /** @param at offset of the first of them */
    abstract void bytes(byte[] bytes, long at);

    /** The sender has ended this direction. */
    void end() {
        next.end();
    }

    /** Bytes that are held back. */
    int held() {
        return 0;
    }

    /** The toxic is taken away: what is held goes on now. */
    void release() { }
}
