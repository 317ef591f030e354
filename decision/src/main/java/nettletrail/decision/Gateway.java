package nettletrail.decision;

import java.util.List;

/**
 * What a front door tells its decision module, and what the module asks of it.
 *
 * <p>One instance serves one gateway and is called by one thread at a time. Every event carries the caller's clock
 * in nanoseconds; it has any origin and never goes back. The module keeps no clock, thread or file of its own and
 * draws its random numbers from the seed it is given. It calls {@link Actions} only while it handles an event.
 *
 * <p>The caller promises: exactly one {@link #answered} for each {@link Actions#send}; request ids are never used
 * twice; list changes come in order. The module promises exactly one final answer for each request: the first
 * answer with {@link Outcome#OK} (which the caller passes on by itself), {@link Actions#refuse} or
 * {@link Actions#fail}.
 */
public interface Gateway {

    /** The list of backends: the whole list, or only the entries that changed. */
    void listed(long now, boolean whole, List<Backend> entries);

    /**
     * Of the gateways, so many use each backend that this one is told of, on the mean; 1 or more. Comes before the list
     * that it holds for. Without a word, all {@link Settings#gateways} do.
     */
    default void sharedBy(long now, double gateways) { }

    /** A call for the list failed, or the subscription broke; the list held so far stays valid. */
    void listFailed(long now);

    /** A client's request came in. It is the module's until its one final answer. */
    void arrived(long now, Request request);

    /** An attempt ended. May concern a request that has ended already. */
    void answered(long now, Answer answer);

    /** The client left, or its time is up: the request has ended and nothing more is owed for it. */
    void departed(long now, long requestId);

    /** A time asked for with {@link Actions#wakeIn} has come. */
    void woken(long now, int token);

    /** What the module asks of its front door. */
    interface Actions {
        /** Send the request to this backend as its next attempt (numbered from 0); 0 ns: until the client leaves. */
        void send(long requestId, long backendId, long timeoutNs);

        /** Final answer: declined, and trying again is harmless. 0 ns: no word on when to come again. */
        void refuse(long requestId, long retryAfterNs);

        /** Final answer: failed, nothing promised about its effect. */
        void fail(long requestId);

        /** Wake the module after this time. */
        void wakeIn(int token, long ns);

        /** Ask for the list of backends to be sent, and its changes from now on. */
        void followList();

        /** A line for the operators. */
        void log(String line);
    }

    /** How an attempt ended. */
    enum Outcome {
        /** Served. */
        OK(true),
        /** The backend answered with an error. */
        ERROR(true),
        /** The backend turned the request away unseen. */
        FULL(false),
        /** No answer in time; it may still run. */
        TIMED_OUT(true),
        /** No connection could be made. */
        CONNECT_FAILED(false),
        /** The connection broke while the attempt was out. */
        RESET(true),
        /** Called off; it may have run. */
        CANCELLED(true),
        /** Never left the front door. */
        NEVER_SENT(false);

        /** Whether the attempt may have run at the backend. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** Whether a request of a class may run twice. */
    enum Effect { REPEATABLE, KEYED, ONCE }

    /** Which backends drop repeats of a keyed request. */
    enum Group { ALL, ZONE, CELL }

    /** What the list says of a backend. */
    enum State { READY, DRAINING, GONE }

    /**
     * One entry of the list.
     *
     * @param id names the backend, also after a restart
     * @param zone where it stands
     * @param kind its machine kind
     * @param cell the small group it shares its memory of keys with
     * @param state what the list says of it
     * @param size its size against other backends; 0 or less counts as 1
     * @param startedAt clock time of its last start, 0 for long ago
     */
    record Backend(long id, int zone, int kind, int cell, State state, double size, long startedAt) {
        public Backend {
            present(state, "Backend.state");
        }
    }

    /**
     * A client's request.
     *
     * @param id unique for ever
     * @param requestClass position in {@link Settings#classes}
     * @param plan position in {@link Settings#plans}
     * @param customer whose quota it draws from
     * @param units what it draws, told or guessed; above 0
     * @param setSize the number of gateways the customer's requests come in through; at least 1
     * @param patienceNs time until the client leaves
     * @param holdNs how long it may be held before its first attempt or its refusal, where its front has to say
     *     within a budget; {@link Long#MAX_VALUE} for no such bound
     */
    record Request(long id, int requestClass, int plan, long customer, double units, int setSize, long patienceNs,
            long holdNs) {
        /** One that may be held as long as its client waits. */
        public Request(long id, int requestClass, int plan, long customer, double units, int setSize,
                long patienceNs) {
            this(id, requestClass, plan, customer, units, setSize, patienceNs, Long.MAX_VALUE);
        }

        public Request {
            require(holdNs >= 0, "Request.holdNs");
            require(units > 0 && units < 1e9, "Request.units");
            require(setSize >= 1, "Request.setSize");
            require(patienceNs >= 0, "Request.patienceNs");
            require(requestClass >= 0, "Request.requestClass");
            require(plan >= 0, "Request.plan");
        }
    }

    /**
     * The end of an attempt.
     *
     * @param requestId the request
     * @param attempt its number, from 0 in order of sending
     * @param backend where it was sent
     * @param outcome how it ended
     * @param ended whether the request has ended, by this or before
     * @param tookNs time since it was sent
     * @param usedPercent metered use of the customer over all gateways in the last totalled period, in percent of
     *     the rate (without a rate: most attempts out, in percent of the limit); -1 for none
     * @param settledUnits the true units, 0 if not told
     * @param load the backend's load report, or null
     */
    record Answer(long requestId, int attempt, long backend, Outcome outcome, boolean ended, long tookNs,
            int usedPercent, double settledUnits, Load load) {
        public Answer {
            present(outcome, "Answer.outcome");
        }
    }

    /**
     * A backend's late and noisy report; a value it does not tell is NaN.
     *
     * @param waiting requests that wait there
     * @param busy share of its CPU in use, 0 to 1
     * @param servedPerS requests served a second
     */
    record Load(double waiting, double busy, double servedPerS) { }

    /**
     * A class of requests.
     *
     * @param aimNs an answer within this time earns the full worth
     * @param worth of one request
     * @param lateValue share of the worth earned after the aim
     * @param effect whether it may run twice
     * @param group for keyed requests, who drops repeats
     * @param windowNs for keyed requests, for how long
     */
    record RequestClass(long aimNs, double worth, double lateValue, Effect effect, Group group, long windowNs) {
        public RequestClass {
            require(aimNs > 0, "RequestClass.aimNs");
            require(worth >= 0, "RequestClass.worth");
            require(lateValue >= 0, "RequestClass.lateValue");
            present(effect, "RequestClass.effect");
            present(group, "RequestClass.group");
            require(windowNs >= 0, "RequestClass.windowNs");
        }
    }

    /**
     * A plan; its figures hold for each customer over all gateways together.
     *
     * @param rate units a second, 0 for no such quota
     * @param burst units the store holds, full at first
     * @param mostOut attempts out at once, 0 for no such quota
     * @param ceilingRate units a second of the hard ceiling, 0 for none
     * @param ceilingBurst units the ceiling's store holds, full at first
     * @param ceilingSlack units it may fall below nothing
     * @param beyondCost share of the worth that a request sent beyond the quota costs
     * @param beyondEarns share of the worth that it earns
     * @param price factor on the worth of its requests
     */
    record Plan(double rate, double burst, int mostOut, double ceilingRate, double ceilingBurst, double ceilingSlack,
            double beyondCost, double beyondEarns, double price) {
        public Plan {
            require(rate >= 0 && rate < 1e12, "Plan.rate");
            require(burst >= 0, "Plan.burst");
            require(mostOut >= 0, "Plan.mostOut");
            require(ceilingRate >= 0, "Plan.ceilingRate");
            require(ceilingBurst >= 0, "Plan.ceilingBurst");
            require(ceilingSlack >= 0, "Plan.ceilingSlack");
            require(beyondCost >= 0, "Plan.beyondCost");
            require(beyondEarns >= 0, "Plan.beyondEarns");
            require(price >= 0, "Plan.price");
        }
    }

    /**
     * What a gateway is told once, at its start. Times in ns.
     *
     * @param gateways how many gateways share the backends
     * @param zone where this one stands
     * @param seed for its random numbers
     * @param tickNs events come no more often than this
     * @param mostAttempts for one request
     * @param asksForList whether the list comes only when asked for
     * @param coldShare a started backend has at least this share of its capacity
     * @param rampNs it is warm after this time at the latest
     * @param overloadMultiple a cold backend sent more than this multiple of what it can do falls over
     * @param overloadSpanNs when it lasts this long
     * @param crossZonePrice points for each request that crosses zones once
     * @param meterPeriodNs over which the meter totals use; 0 for no meter
     * @param classes of requests
     * @param plans of customers
     */
    record Settings(int gateways, int zone, long seed, long tickNs, int mostAttempts,
            boolean asksForList, double coldShare, long rampNs, double overloadMultiple, long overloadSpanNs,
            double crossZonePrice, long meterPeriodNs,
            List<RequestClass> classes, List<Plan> plans) {
        public Settings {
            require(gateways >= 1, "Settings.gateways");
            require(tickNs >= 0, "Settings.tickNs");
            require(mostAttempts >= 1, "Settings.mostAttempts");
            require(coldShare > 0 && coldShare <= 1, "Settings.coldShare");
            require(rampNs >= 0, "Settings.rampNs");
            require(overloadMultiple > 0, "Settings.overloadMultiple");
            require(overloadSpanNs >= 0, "Settings.overloadSpanNs");
            require(crossZonePrice >= 0, "Settings.crossZonePrice");
            require(meterPeriodNs >= 0, "Settings.meterPeriodNs");
            classes = List.copyOf(present(classes, "Settings.classes"));
            plans = List.copyOf(present(plans, "Settings.plans"));
        }
    }

    /** Rejects a value that makes no sense, naming the field. */
    static void require(boolean sound, String field) {
        if (!sound) {
            throw new IllegalArgumentException(field + " is out of range");
        }
    }

    /** Rejects a missing value, naming the field. */
    static <T> T present(T value, String field) {
        if (value == null) {
            throw new IllegalArgumentException(field + " is missing");
        }
        return value;
    }
}
