package nettletrail.app.scale.thin;

import nettletrail.decision.Gateway;

/**
 * One play of a fleet at thin traffic.
 *
 * @param doors front doors, 1 and up; each gets an even share of all requests, by chance
 * @param backends 1 and up
 * @param slots requests that a backend works on at once; the others queue there, first come first served
 * @param queue requests that may queue at a backend; more are turned away; 0 for no bound
 * @param serviceMs mean time of a request in a slot: half of it fixed, half exponential
 * @param used share of the whole capacity that is asked, above 0
 * @param seconds that requests come for; what is open then runs to its end
 * @param restarted share of the backends restarted at {@link #RESTART_S}, 0 to 1, spread evenly
 * @param slowCold whether those are cold in fact: attempts out break, connects are refused for a second, then they
 *     work at the least share that the settings tell and rise evenly; otherwise the list tells a new start and that
 *     is all
 * @param choice who chooses the backend
 * @param doorsEach how many doors each backend is known to, by the module's aperture, or for plain choices in arcs of equal
 *     width, one backend at least; 0 for all
 * @param seed of all that is drawn
 */
public record ThinCase(int doors, int backends, int slots, int queue, double serviceMs, double used, int seconds,
        double restarted, boolean slowCold, Choice choice, int doorsEach, long seed) {
    /** Seconds after which the restarted backends are. */
    public static final int RESTART_S = 10;
    /** An answer within so many ms is of full worth. */
    public static final long AIM_MS = 750;
    /** The client leaves after so many ms. */
    public static final long DEADLINE_MS = 3_000;
    /** What the settings tell of a cold backend. */
    static final double COLD_SHARE = 0.17;
    static final long RAMP_MS = 17_000;
    static final double OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_SPAN_MS = 1_500;
    static final int ZONES = 5;
    /** An idle connection is used again for so long: two thirds of the 15 s after which backends close it. */
    static final long IDLE_MS = 10_000;
    static final int CUSTOMERS = 1_000;

    /** Who chooses the backend of a request. */
    public enum Choice {
        /** The decision module of each door. */
        MODULE,
        /** Each door, by chance. */
        RANDOM,
        /** Each door in turn, from a place of its own. */
        ROUND_ROBIN,
        /** The one with the fewest requests at it, seen at once from all doors. */
        LEAST_LOADED
    }

    public ThinCase {
        Gateway.requireInRange(doors >= 1, "ThinCase.doors");
        Gateway.requireInRange(backends >= 1, "ThinCase.backends");
        Gateway.requireInRange(slots >= 1, "ThinCase.slots");
        Gateway.requireInRange(queue >= 0, "ThinCase.queue");
        Gateway.requireInRange(serviceMs > 0, "ThinCase.serviceMs");
        Gateway.requireInRange(used > 0, "ThinCase.used");
        Gateway.requireInRange(seconds >= 1, "ThinCase.seconds");
        Gateway.requireInRange(restarted >= 0 && restarted <= 1, "ThinCase.restarted");
        Gateway.requireInRange(doorsEach == 0 || doorsEach <= doors && (long) doorsEach * backends >= doors,
                "ThinCase.doorsEach");
        Gateway.requirePresent(choice, "ThinCase.choice");
    }

    /** The plan's density: one slot, 150 ms, 4 requests a second and backend, a quarter told as restarted. */
    public static ThinCase planned(int doors, int backends, Choice choice, long seed) {
        return new ThinCase(doors, backends, 1, 0, 150, 0.6, 45, 0.25, false, choice, 0, seed);
    }

    /** Four slots of 100 ms each. */
    public static ThinCase fourSlots(int doors, int backends, double used, double restarted, Choice choice, long seed) {
        return new ThinCase(doors, backends, 4, 0, 100, used, 45, restarted, false, choice, 0, seed);
    }

    /** The same with another use of the capacity. */
    public ThinCase using(double share) {
        return new ThinCase(doors, backends, slots, queue, serviceMs, share, seconds, restarted, slowCold, choice,
                doorsEach, seed);
    }

    /** The same with each backend known to so many doors only. */
    public ThinCase arcs(int each) {
        return new ThinCase(doors, backends, slots, queue, serviceMs, used, seconds, restarted, slowCold, choice,
                each, seed);
    }

    /** The same for so many seconds. */
    public ThinCase lasting(int length) {
        return new ThinCase(doors, backends, slots, queue, serviceMs, used, length, restarted, slowCold, choice,
                doorsEach, seed);
    }

    /** The same, with backends that are cold in fact, or told so only. */
    public ThinCase cold(boolean inFact) {
        return new ThinCase(doors, backends, slots, queue, serviceMs, used, seconds, restarted, inFact, choice,
                doorsEach, seed);
    }

    /** Requests a second over all. */
    double perSecond() {
        return used * backends * slots * 1_000 / serviceMs;
    }
}
