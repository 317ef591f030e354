package nettletrail.discovery;

import java.util.SplittableRandom;

/**
 * Every wait, time-out and pause of the calls to discovery, from one sum. A change counts as told {@link #TOLD_MS} after discovery
 * had it and could be reached, whatever failed before. At that moment one call may be under way that will never be answered
 * (it began while discovery could not be reached, or its watch has fallen silent); the next one may stand in discovery's
 * line for all of {@link #ANSWER_MS}, or be swallowed too and the one after it be answered at once. With {@link #LATE_MS} kept for a
 * loop that is late, these have to fit:
 *
 * <pre>
 * watch      WAIT + GRACE + CONNECT + FIRST_PAUSE + ANSWER       &lt;= TOLD - LATE
 * silence    ANSWER + SILENT + CONNECT + ANSWER                  &lt;= TOLD - LATE
 * busy       BUSY + ANSWER                                       &lt;= TOLD - LATE
 * </pre>
 *
 * <p><i>watch</i>: one that is silent is told from one that has no news {@link #GRACE_MS} after its wait is over; then a second
 * call goes out beside it, on another connection, whose coming up may fail once. The first call is still heard up to its own
 * time-out: one that only stood in line has lost nothing, and none is given up early. <i>silence</i>: a call that
 * waits for nothing is swallowed, a connection does not come up in the pause after it, and the next call stands in line.
 * <i>busy</i>: an answer that turns a call away (503, 429) says that discovery can't be reached by now; from one such call to
 * the next is BUSY at most. It counts from the call, so that time spent in discovery's line is time paused.
 *
 * <p>What a busy discovery bears: N front doors that are all turned away make N / (0.75 BUSY) calls a second, 43 for a hundred and
 * 206 for 480. While turning one away costs it less than the inverse (23 and 4.8 ms) it has time left for lists. No set of pauses
 * does better than N / BUSY and keeps to the sum.
 */
final class DiscoveryTiming {
    /** What discovery has to tell counts as told then, by the protocol. */
    static final int TOLD_MS = 6_000;
    /** Of that, for a loop that is late at each of its timers, and for taking the list in. */
    static final int LATE_MS = 800;
    /**
     * An answer later than this is none. Discovery itself gives a call up after 2 s in its line: a front door that
     * gave up sooner left it the work of an answer that nobody heard, and added another call to the line.
     */
    static final int ANSWER_MS = 2_100;
    /** A watch whose wait is over for so long may be silent. */
    static final int GRACE_MS = 300;
    /** The agent is on this machine: a connection that takes longer is none. */
    static final int CONNECT_MS = 400;
    /**
     * From a fault to the next call: far under the 200 ms after which a new watch would begin. It doubles with each
     * fault and is spread: discovery serves all front doors from one small capacity, and once it had to turn some calls
     * away, all of them calling again every 50 ms kept it turning all of them away for good.
     */
    static final int FIRST_PAUSE_MS = 60;
    /** A call waits so long for news. */
    static final int WAIT_MS = TOLD_MS - LATE_MS - ANSWER_MS - FIRST_PAUSE_MS - CONNECT_MS - GRACE_MS;
    /** The longest pause after a call that was not answered; these cost discovery nothing. */
    static final int SILENT_MS = TOLD_MS - LATE_MS - 2 * ANSWER_MS - CONNECT_MS;
    /** The most from one call that was turned away to the next. */
    static final int BUSY_MS = TOLD_MS - LATE_MS - ANSWER_MS;

    private DiscoveryTiming() { }

    /** From a call that was not answered to the next, ms, after so many faults in a row before it; up to {@link #SILENT_MS}. */
    static int silentPauseMs(int faultsBefore, SplittableRandom random) {
        return spread(SILENT_MS, faultsBefore, random);
    }

    /**
     * From the answer that turned a call away to the next call, ms.
     *
     * @param faultsBefore how many faults in a row came before it
     * @param stoodMs for how long it stood in line: that much of the pause is over
     * @return from 1; with what it stood, up to {@link #BUSY_MS} or just over what it stood
     */
    static int busyPauseMs(int faultsBefore, long stoodMs, SplittableRandom random) {
        return (int) Math.max(1, spread(BUSY_MS, faultsBefore, random) - stoodMs);
    }

    /** Half of it is left to chance, or those that were turned away together would come back together. */
    private static int spread(int mostMs, int faultsBefore, SplittableRandom random) {
        int full = Math.min(mostMs, FIRST_PAUSE_MS << Math.min(faultsBefore, 16));
        return full / 2 + random.nextInt(full / 2 + 1);
    }
}
