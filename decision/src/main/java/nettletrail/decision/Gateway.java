package nettletrail.decision;

import java.util.List;

/**
 * What a front door tells its decision module, and what the module asks of it.
 *
 * <p>One instance serves one gateway and is called by one thread at a time. Every event carries the caller's clock
 * in nanoseconds; it has any origin and never goes back. The module keeps no clock, thread or file of its own and
 * draws its random numbers from the seed it is given. It calls {@link Actions} only while it handles an event.
 *
 * <p>The caller promises: exactly one {@link #onAttemptEnd} for each {@link Actions#send}; request ids are never used
 * twice; list changes come in order. The module promises exactly one final answer for each request: the first
 * answer with {@link Outcome#OK} (which the caller passes on by itself), {@link Actions#reject} or
 * {@link Actions#fail}.
 */
public interface Gateway {

    /** The list of backends: the whole list, or only the entries that changed. */
    void onBackends(long now, boolean whole, List<Backend> entries);

    /**
     * Of the gateways, so many use each backend that this one is told of, on the mean; 1 or more. Comes before the list
     * that it holds for. Without a word, all {@link Settings#gatewayCount} do.
     */
    default void onGatewaysPerBackend(long now, double gateways) { }

    /** A call for the list failed, or the subscription broke; the list held so far stays valid. */
    void onDiscoveryFailure(long now);

    /** A client's request came in. It is the module's until its one final answer. */
    void onRequest(long now, Request request);

    /** An attempt ended. May concern a request that has ended already. */
    void onAttemptEnd(long now, AttemptReport answer);

    /** The client left, or its time is up: the request has ended and nothing more is owed for it. */
    void onRequestCancelled(long now, long requestId);

    /** A time asked for with {@link Actions#startTimer} has come. */
    void onTimer(long now, int token);

    /** What the module asks of its front door. */
    interface Actions {
        /** Send the request to this backend as its next attempt (numbered from 0); 0 ns: until the client leaves. */
        void send(long requestId, long backendId, long timeoutNs);

        /** Final answer: declined, and trying again is harmless. 0 ns: no word on when to come again. */
        void reject(long requestId, long retryAfterNs);

        /** Final answer: failed, nothing promised about its effect. */
        void fail(long requestId);

        /** Wake the module after this time. */
        void startTimer(int token, long ns);

        /** Ask for the list of backends to be sent, and its changes from now on. */
        void subscribeBackends();

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
    enum Idempotency { IDEMPOTENT, KEYED, NOT_IDEMPOTENT }

    /** Which backends drop repeats of a keyed request. */
    enum DedupScope { ALL, ZONE, CELL }

    /** What the list says of a backend. */
    enum DiscoveryState { READY, DRAINING, GONE }

    /**
     * One entry of the list.
     *
     * @param id names the backend, also after a restart
     * @param zone where it stands
     * @param machineType its machine kind
     * @param cell the small group it shares its memory of keys with
     * @param state what the list says of it
     * @param weight its size against other backends; 0 or less counts as 1
     * @param startedAtNanos clock time of its last start, 0 for long ago
     */
    record Backend(long id, int zone, int machineType, int cell, DiscoveryState state, double weight,
            long startedAtNanos) {
        public Backend {
            requirePresent(state, "Backend.state");
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
     * @param gatewaySubsetSize the number of gateways the customer's requests come in through; at least 1
     * @param timeoutNanos time until the client leaves
     * @param maxQueueNanos how long it may be held before its first attempt or its refusal, where its front has to say
     *     within a budget; {@link Long#MAX_VALUE} for no such bound
     */
    record Request(long id, int requestClass, int plan, long customer, double units, int gatewaySubsetSize,
            long timeoutNanos, long maxQueueNanos) {
        /** One that may be held as long as its client waits. */
        public Request(long id, int requestClass, int plan, long customer, double units, int gatewaySubsetSize,
                long timeoutNanos) {
            this(id, requestClass, plan, customer, units, gatewaySubsetSize, timeoutNanos, Long.MAX_VALUE);
        }

        public Request {
            requireInRange(maxQueueNanos >= 0, "Request.maxQueueNanos");
            requireInRange(units > 0 && units < 1e9, "Request.units");
            requireInRange(gatewaySubsetSize >= 1, "Request.gatewaySubsetSize");
            requireInRange(timeoutNanos >= 0, "Request.timeoutNanos");
            requireInRange(requestClass >= 0, "Request.requestClass");
            requireInRange(plan >= 0, "Request.plan");
        }
    }

    /**
     * The end of an attempt.
     *
     * @param requestId the request
     * @param attempt its number, from 0 in order of sending
     * @param backendId where it was sent
     * @param outcome how it ended
     * @param requestEnded whether the request has ended, by this or before
     * @param durationNanos time since it was sent
     * @param quotaUsedPercent metered use of the customer over all gateways in the last totalled period, in percent of
     *     the rate (without a rate: most attempts out, in percent of the limit); -1 for none
     * @param actualUnits the true units, 0 if not told
     * @param load the backend's load report, or null
     */
    record AttemptReport(long requestId, int attempt, long backendId, Outcome outcome, boolean requestEnded,
            long durationNanos,
            int quotaUsedPercent, double actualUnits, LoadReport load) {
        public AttemptReport {
            requirePresent(outcome, "AttemptReport.outcome");
        }
    }

    /**
     * A backend's late and noisy report; a value it does not tell is NaN.
     *
     * @param queuedRequests requests that wait there
     * @param cpuUtilization share of its CPU in use, 0 to 1
     * @param requestsPerSecond requests served a second
     */
    record LoadReport(double queuedRequests, double cpuUtilization, double requestsPerSecond) { }

    /**
     * A class of requests.
     *
     * @param targetLatencyNanos an answer within this time earns the full worth
     * @param value of one request
     * @param lateValueShare share of the worth earned after the aim
     * @param idempotency whether it may run twice
     * @param dedupScope for keyed requests, who drops repeats
     * @param dedupWindowNanos for keyed requests, for how long
     */
    record RequestClass(long targetLatencyNanos, double value, double lateValueShare, Idempotency idempotency,
            DedupScope dedupScope, long dedupWindowNanos) {
        public RequestClass {
            requireInRange(targetLatencyNanos > 0, "RequestClass.targetLatencyNanos");
            requireInRange(value >= 0, "RequestClass.value");
            requireInRange(lateValueShare >= 0, "RequestClass.lateValueShare");
            requirePresent(idempotency, "RequestClass.idempotency");
            requirePresent(dedupScope, "RequestClass.dedupScope");
            requireInRange(dedupWindowNanos >= 0, "RequestClass.dedupWindowNanos");
        }
    }

    /**
     * A plan; its figures hold for each customer over all gateways together.
     *
     * @param ratePerSecond units a second, 0 for no such quota
     * @param burstUnits units the store holds, full at first
     * @param maxConcurrency attempts out at once, 0 for no such quota
     * @param ceilingRatePerSecond units a second of the hard ceiling, 0 for none
     * @param ceilingBurstUnits units the ceiling's store holds, full at first
     * @param ceilingOverdraftUnits units it may fall below nothing
     * @param overQuotaCost share of the worth that a request sent beyond the quota costs
     * @param overQuotaValue share of the worth that it earns
     * @param price factor on the worth of its requests
     */
    record Plan(double ratePerSecond, double burstUnits, int maxConcurrency, double ceilingRatePerSecond,
            double ceilingBurstUnits, double ceilingOverdraftUnits, double overQuotaCost, double overQuotaValue,
            double price) {
        public Plan {
            requireInRange(ratePerSecond >= 0 && ratePerSecond < 1e12, "Plan.ratePerSecond");
            requireInRange(burstUnits >= 0, "Plan.burstUnits");
            requireInRange(maxConcurrency >= 0, "Plan.maxConcurrency");
            requireInRange(ceilingRatePerSecond >= 0, "Plan.ceilingRatePerSecond");
            requireInRange(ceilingBurstUnits >= 0, "Plan.ceilingBurstUnits");
            requireInRange(ceilingOverdraftUnits >= 0, "Plan.ceilingOverdraftUnits");
            requireInRange(overQuotaCost >= 0, "Plan.overQuotaCost");
            requireInRange(overQuotaValue >= 0, "Plan.overQuotaValue");
            requireInRange(price >= 0, "Plan.price");
        }
    }

    /**
     * What a gateway is told once, at its start. Times in ns.
     *
     * @param gatewayCount how many gateways share the backends
     * @param zone where this one stands
     * @param seed for its random numbers
     * @param tickNanos events come no more often than this
     * @param maxAttempts for one request
     * @param subscribesToBackends whether the list comes only when asked for
     * @param coldCapacityShare a started backend has at least this share of its capacity
     * @param slowStartNanos it is warm after this time at the latest
     * @param overloadFactor a cold backend sent more than this multiple of what it can do falls over
     * @param overloadNanos when it lasts this long
     * @param crossZoneCost points for each request that crosses zones once
     * @param meteringPeriodNanos over which the meter totals use; 0 for no meter
     * @param classes of requests
     * @param plans of customers
     */
    record Settings(int gatewayCount, int zone, long seed, long tickNanos, int maxAttempts,
            boolean subscribesToBackends, double coldCapacityShare, long slowStartNanos, double overloadFactor,
            long overloadNanos, double crossZoneCost, long meteringPeriodNanos,
            List<RequestClass> classes, List<Plan> plans) {
        public Settings {
            requireInRange(gatewayCount >= 1, "Settings.gatewayCount");
            requireInRange(tickNanos >= 0, "Settings.tickNanos");
            requireInRange(maxAttempts >= 1, "Settings.maxAttempts");
            requireInRange(coldCapacityShare > 0 && coldCapacityShare <= 1, "Settings.coldCapacityShare");
            requireInRange(slowStartNanos >= 0, "Settings.slowStartNanos");
            requireInRange(overloadFactor > 0, "Settings.overloadFactor");
            requireInRange(overloadNanos >= 0, "Settings.overloadNanos");
            requireInRange(crossZoneCost >= 0, "Settings.crossZoneCost");
            requireInRange(meteringPeriodNanos >= 0, "Settings.meteringPeriodNanos");
            classes = List.copyOf(requirePresent(classes, "Settings.classes"));
            plans = List.copyOf(requirePresent(plans, "Settings.plans"));
        }
    }

    /** Rejects a value that makes no sense, naming the field. */
    static void requireInRange(boolean sound, String field) {
        if (!sound) {
            throw new IllegalArgumentException(field + " is out of range");
        }
    }

    /** Rejects a missing value, naming the field. */
    static <T> T requirePresent(T value, String field) {
        if (value == null) {
            throw new IllegalArgumentException(field + " is missing");
        }
        return value;
    }
}
