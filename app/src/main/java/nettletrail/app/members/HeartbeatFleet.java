package nettletrail.app.members;

import java.util.SplittableRandom;

/**
 * What a user would do instead, to measure against: each door tells each other every period that it is there, and whoever
 * said nothing for a fixed time is gone. In virtual time, with the same faults as {@link MembersFleet}.
 */
final class HeartbeatFleet {
    private static final long MS = 1_000_000L;
    private static final long TICK_NS = 50 * MS;

    private final int doors;
    private final long periodNs;
    private final long timeoutNs;
    private final SplittableRandom random;
    private final long[][] heardAt;
    private final boolean[][] gone;
    private final boolean[] dead;
    private final long[] stoppedUntil;
    private final long[] nextBeat;
    private double loss;
    private long delayNs;
    private long jitterNs;
    private long now;
    private long goneTold;
    private long datagrams;

    HeartbeatFleet(int doors, long periodNs, long timeoutNs, long seed) {
        this.doors = doors;
        this.periodNs = periodNs;
        this.timeoutNs = timeoutNs;
        random = new SplittableRandom(seed);
        heardAt = new long[doors][doors];
        gone = new boolean[doors][doors];
        dead = new boolean[doors];
        stoppedUntil = new long[doors];
        nextBeat = new long[doors];
        for (int i = 0; i < doors; i++) {
            nextBeat[i] = random.nextLong(periodNs);
        }
    }

    void run(long ns) {
        for (long until = now + ns; now < until; now += TICK_NS) {
            for (int from = 0; from < doors; from++) {
                if (dead[from] || now < stoppedUntil[from]) {
                    continue;
                }
                if (now >= nextBeat[from]) {
                    nextBeat[from] = now + periodNs;
                    beat(from);
                }
                for (int of = 0; of < doors; of++) {
                    boolean silent = of != from && now - heardAt[from][of] > timeoutNs;
                    goneTold += silent && !gone[from][of] ? 1 : 0;
                    gone[from][of] = silent;
                }
            }
        }
    }

    private void beat(int from) {
        for (int to = 0; to < doors; to++) {
            if (to == from) {
                continue;
            }
            datagrams++;
            if (!dead[to] && random.nextDouble() >= loss) {
                // What comes late counts from when it comes: here it is booked ahead.
                long at = now + delayNs + (jitterNs == 0 ? 0 : random.nextLong(jitterNs));
                heardAt[to][from] = Math.max(heardAt[to][from], at);
            }
        }
    }

    void kill(int door) {
        dead[door] = true;
    }

    void stop(int door, long ns) {
        stoppedUntil[door] = now + ns;
    }

    void loss(double share) {
        loss = share;
    }

    void delay(long ns, long jitter) {
        delayNs = ns;
        jitterNs = jitter;
    }

    /** ns until all others call a door gone that was just killed. */
    long untilGone(int door, long most) {
        long begin = now;
        while (now - begin < most) {
            boolean all = true;
            for (int i = 0; i < doors; i++) {
                all &= dead[i] || gone[i][door];
            }
            if (all) {
                return now - begin;
            }
            run(TICK_NS);
        }
        return most;
    }

    long goneTold() {
        return goneTold;
    }

    long datagrams() {
        return datagrams;
    }
}
