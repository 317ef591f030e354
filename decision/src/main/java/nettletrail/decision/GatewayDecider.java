package nettletrail.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes all decisions of one gateway; its interface (types, events, actions) is in Gateway.java. Times in ns.
 *
 * <p>The sections follow a request: it is checked against its customer's quota, waits in that customer's
 * queue, is sent when that has the lowest virtual time (fair queueing) and a backend has a free slot, and is
 * settled by its response. Then follow the meter, the list of backends and the timers.
 *
 * <p>Where many gateways (FEW_GATEWAYS) each see little, a part of a token bucket or cap is less than one
 * request: chance is allowed for, and of the excess over a quota the least valuable is rejected first.
 */
public final class GatewayDecider implements Gateway {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** Interval between checks of the queue, ns; well inside the tolerance for a late final answer. */
    private static final long QUEUE_CHECK_NANOS = 10 * MS;
    /** Timer tokens: for the periodic check of the queue, and for the end of a request's own queue time. */
    private static final int QUEUE_CHECK_TOKEN = 0;
    private static final int QUEUE_LIMIT_TOKEN = 1;
    /** ns before the client's deadline at which a queued request gets its answer: two checks and a tick. */
    private static final long RESPONSE_MARGIN = 30 * MS;
    /** ns without a request after which a customer with full token buckets is evicted. */
    private static final long EVICT_AFTER = 20 * SECOND;
    /** Customers checked for eviction per request: more than one, so that their number also shrinks. */
    private static final int EVICTION_CHECKS = 2;
    /** An admitted share below this keeps its customer from being evicted. */
    private static final double NEARLY_ALL_ADMITTED = 0.9;

    /** Slices per metering period, so that a reading can be matched with the share admitted at that time. */
    private static final int SLICES_PER_PERIOD = 8;
    /** Slices remembered: five periods, more than a late reading looks back. */
    private static final int SLICES_KEPT = 5 * SLICES_PER_PERIOD;
    /** Periods from the end of a metered period to its first report; used until the phase is learned. */
    private static final double DEFAULT_METER_LAG = 0.75;
    /** Requests by which all gateways together may overdraw a quota; each part recovers within seconds. */
    private static final double MAX_TOTAL_OVERDRAFT = 12;
    /** Minimum overdraft of a gateway, in requests: its part of a bucket may hold less than one request. */
    private static final double MIN_OVERDRAFT = 1;
    /** Up to this many gateways, the load on one tells the load on all. With more, one request more or less
     * is chance, and the admitted share alone decides up to OVERDRAFT_CHANCE of the allowed overdraft. */
    private static final double FEW_GATEWAYS = 3;
    private static final double OVERDRAFT_CHANCE = 0.9;
    /** Mean share of a concurrency cap to use: there one more request costs what it earns, for random
     * arrivals, caps of 2 to 6 and an excess cost of 0.6 to 1 of the value. With 0.5, as much was served and
     * a third more was paid for requests over the cap. */
    private static final double CAP_TARGET_USE = 0.35;
    /** Assumed demand of an unknown customer, as a share of its cap: half of its first requests pass. */
    private static final double CAP_PRIOR_DEMAND = 0.65;
    /** Metered peak concurrency, as a multiple of the cap, at which the cap is well used. */
    private static final double CAP_PEAK_USE = 1.1;
    /** Share of the headroom in a reading that this gateway's part gains. */
    private static final double READING_GAIN = 0.3;
    /** Requests that a reading is weighed against: few requests in a period say little about the rate. */
    private static final double READING_NOISE = 3;
    /** Minimum ns for the admitted share to recover to 1 without a reading: longer than the meter's lag. */
    private static final double ADMIT_RECOVERY = 20.0*SECOND;


    /** Attempt timeout under a concurrency cap: so many target or, if longer, typical latencies. */
    private static final double CAP_TIMEOUT_TARGETS = 1.5;
    private static final double CAP_TIMEOUT_LATENCIES = 6;

    /** Initial limit of attempts in flight at a backend, over all gateways; adapts from there. */
    private static final double INITIAL_LIMIT = 12;
    /** Minimum limit at a backend, over all gateways (at most one attempt for each gateway). */
    private static final double MIN_TOTAL_LIMIT = 4;
    /** Maximum limit at one backend: queueing more there gains nothing. */
    private static final double MAX_LIMIT = 256;
    /** Latency, as a multiple of the unloaded one, up to which a backend's limit may grow. */
    private static final double LIMIT_STRETCH = 1.5;
    /** Share of the target latency that a backend may always take. */
    private static final double LIMIT_TARGET_SHARE = 0.15;
    /** In-flight attempts always allowed from this gateway: without traffic it would learn nothing. */
    private static final double MIN_IN_FLIGHT = 1;
    /** While fewer than this many attempts per backend (one running, one queued; over all gateways) are in
     * flight on average, a gateway may exceed its part by so many standard deviations (Poisson). */
    private static final double MIN_PER_BACKEND = 2;
    private static final double BURST_DEVIATIONS = 3;
    /** Costs that differ by fewer standard deviations of the pace's noise count as equal. */
    private static final double NOISE_DEVIATIONS = 2;
    /** Maximum weight of one response in cutting the in-flight limit: one stall is not an overload. */
    private static final double MAX_STRETCH = 3;
    /** The limit is cut while responses exceed these multiples of the unloaded and the target latency. */
    private static final double TOTAL_STRETCH = 2;
    private static final double TOTAL_TARGET_SHARE = 0.3;
    /** Weight of a new latency in the fleet's pace. */
    private static final double FLEET_WEIGHT = 0.1;
    /** Multiplicative decrease of a limit when responses are too slow. */
    private static final double LIMIT_CUT = 0.8;
    /** Weight of a new latency in a backend's pace and in a class's typical latency. */
    private static final double PACE_WEIGHT = 0.05;
    private static final double LATENCY_WEIGHT = 0.03;
    /** Responses that the initial estimate, a fifth of the target latency, weighs as much as. */
    private static final int LATENCY_PRIOR_COUNT = 4;
    /** ns in which a pace without new responses decays to normal, so that a slow backend is tried again. */
    private static final double PACE_DECAY = 5.0 * SECOND;
    /** An attempt in flight for more than this many typical latencies indicates a stall. */
    private static final double STALL_LATENCIES = 3;
    /** A queued request needs this many typical latencies until its deadline: most then meet the target. */
    private static final double MIN_LATENCIES = 2;
    /** Weight of a new gap between two sends while others are queued. */
    private static final double GAP_WEIGHT = 0.03;
    /** An attempt in flight for more than this many typical latencies no longer counts against a limit. */
    private static final double SILENT_LATENCIES = 5;
    /** Extra cost of a backend in another zone, where crossing zones has a price. */
    private static final double CROSS_ZONE_EXTRA = 0.5;

    /** ns of the first ejection after a failed connect or resets; doubled at each failed probe. */
    private static final long MIN_EJECTION = SECOND / 2;
    /** Consecutive connection resets after which a backend counts as dead; one refused connect is enough. */
    private static final int DEAD_AFTER_RESETS = 3;
    /** ns after which a reset starts a new series: a dead process breaks all its connections at once. */
    private static final long RESET_WINDOW = 2 * SECOND;
    private static final long MAX_EJECTION = 4 * SECOND;
    /** If more than this share of the backends is ejected, the fault is elsewhere: all are used. */
    private static final double MAX_EJECTED_SHARE = 0.5;
    /** Error rate of an unhealthy backend; minimum error rate assumed of the others if none were seen. */
    private static final double UNHEALTHY_ERROR_RATE = 0.8;
    private static final double MIN_ERROR_RATE = 0.002;
    /** Log-odds from which errors show that a backend is unhealthy, and the value they are capped at. */
    private static final double UNHEALTHY_EVIDENCE = 4;
    private static final double MAX_EVIDENCE = 5;
    /** Weight of a response in the error rate of healthy backends. */
    private static final double ERROR_WEIGHT = 0.02;
    /** ns that the probe of an unhealthy backend waits for a request that may be repeated. */
    private static final long UNSAFE_PROBE_AFTER = 8 * SECOND;
    /** Retry budget: a retry costs one; each request adds this much, up to the maximum. */
    private static final double RETRY_RATIO = 0.2;
    private static final double MAX_RETRY_BUDGET = 20;
    /** ns of the deduplication window left unused, for the time in transit. */
    private static final long DEDUP_MARGIN = 200 * MS;
    /** Share of the overload factor used for a cold backend; the rest allows for load above capacity. */
    private static final double COLD_LOAD_SHARE = 0.5;
    /** Maximum sends to a cold backend that a gateway may save up, each for the overload span. */
    private static final double MAX_COLD_CREDIT = 2;
    /** Minimum share of the fleet's capacity assumed; if all are cold each gets all that it may. */
    private static final double MIN_CAPACITY_SHARE = 0.45;
    private static final double MIN_CAPACITY_ALL_COLD = 0.75;

    private static final class Customer {
        long id;
        Plan plan;
        int gateways;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        double virtualTime;
        double tokens;
        double admitShare = 1;
        double ceilingTokens;
        double ceilingReserved;
        long refilledAt;
        long lastSeenAt;
        double recent; // requests seen here, exponentially decayed
        int inFlight;
        final double[] admitHistory = new double[SLICES_KEPT]; // the admitted share in each slice
        long lastSlice;
        int lastReading = -1;
        long lastEpoch = Long.MIN_VALUE;
        long lastReadingAt;
    }

    private static final class Job {
        Request request;
        Customer customer;
        RequestClass requestClass;
        long arrivedAt;
        long deadline;
        int attempts;
        boolean mayHaveArrived;
        double fairnessCharge;
        boolean mayHaveRun;
        long firstMayHaveRunAt;
        TrackedBackend mayHaveRunOn;
        TrackedBackend backend;
        long sentAt;
        boolean ended;
    }

    private static final class TrackedBackend {
        Backend entry;
        boolean ready;
        int inFlight;
        double limit;
        double pace = 1;
        long paceAt;
        long limitCutAt;
        final ArrayDeque<Job> jobs = new ArrayDeque<>();
        long ejectedUntil;
        long ejectionNanos;
        boolean probing;
        boolean connectFailed;
        boolean unhealthy;
        double errorEvidence;
        int errors;
        boolean dead;
        int resets;
        long lastResetAt;
        long coldSince = Long.MIN_VALUE;
        double reportedQueue;
        double reportedCpu;
        double coldCredit;
        long coldCreditExpiresAt;
        long ringPosition; // in this gateway's own order
        double cost; // in the current selection; MAX_VALUE if not usable
    }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long startedAt;
    private final LinkedHashMap<Long, Customer> customers = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayList<Customer> queuedCustomers = new ArrayList<>();
    private final LinkedHashMap<Long, Job> jobs = new LinkedHashMap<>();
    private final LinkedHashMap<Long, TrackedBackend> backends = new LinkedHashMap<>();
    private final double[] latencies;
    private final double[] baseLatencies;
    private final int[] latencySamples;
    private double meanWeight = 1;
    private double meanUnits = 1;
    private double retryBudget = MAX_RETRY_BUDGET;
    private final ArrayList<TrackedBackend> coldBackends = new ArrayList<>();
    private double fleetSize;
    private int queued;
    private boolean checkScheduled;
    private int inFlight;
    private double totalLimit;
    private double fleetPace = 1;
    private long totalLimitCutAt;
    private double meanInFlight;
    private long meanInFlightAt;
    private double latencyVariance; // of responses, relative to the typical latency
    private double gatewaysPerBackend;
    private final long ringSalt; // seeds the ring's order
    private long ringCursor; // where the next selection on the ring starts
    private double meanSendGap;
    private long lastSentAt;
    private double meterPublishedAt;
    private boolean meterPhaseKnown;
    private double errorRate;
    private final double[] classShare; // of all requests
    private double meanValue;

    /** @param now the clock at the gateway's start, ns; ceilings of customers seen later fill from then on */
    public GatewayDecider(Settings settings, long now, Actions actions) {
        this.settings = Gateway.requirePresent(settings, "settings");
        this.actions = Gateway.requirePresent(actions, "actions");
        startedAt = now;
        random = new SplittableRandom(settings.seed());
        ringSalt = new SplittableRandom(~settings.seed()).nextLong();
        gatewaysPerBackend = settings.gatewayCount();
        latencies = new double[settings.classes().size()];
        baseLatencies = new double[settings.classes().size()];
        latencySamples = new int[latencies.length];
        classShare = new double[latencies.length];
        Arrays.fill(classShare, 1.0 / latencies.length);
        Arrays.fill(latencySamples, LATENCY_PRIOR_COUNT);
        for (int i = 0; i < latencies.length; i++) {
            latencies[i] = settings.classes().get(i).targetLatencyNanos() / 5.0;
            baseLatencies[i] = latencies[i];
        }
        if (settings.subscribesToBackends()) {
            actions.subscribeBackends();
        }
    }

    // ---- Arrival and quotas -----------------------------------------------------------------------------

    @Override
    public void onRequest(long now, Request request) {
        Gateway.requireInRange(request.requestClass() < latencies.length, "Request.requestClass");
        Gateway.requireInRange(request.plan() < settings.plans().size(), "Request.plan");
        Job job = new Job();
        job.request = request;
        job.requestClass = settings.classes().get(request.requestClass());
        job.customer = customerOf(now, request);
        job.arrivedAt = now;
        job.deadline = now + request.timeoutNanos();
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRY_RATIO);
        meanUnits += 0.01 * (request.units() - meanUnits);
        meanValue = 0;
        for (int i = 0; i < classShare.length; i++) {
            classShare[i] += 0.01 * ((i == request.requestClass() ? 1 : 0) - classShare[i]);
            meanValue += classShare[i] * settings.classes().get(i).value();
        }
        Customer customer = job.customer;
        // Too close to the deadline for the next queue check: answered now.
        boolean leaving = request.timeoutNanos() < RESPONSE_MARGIN;
        boolean late = leaving || !canMeetTarget(job);
        boolean allCold = allCold(now);
        boolean within = (allCold || !late) && withinQuota(customer, request);
        if (allCold && within) {
            grantColdCredit(now);
        }
        if (late || !within || !withinCeiling(customer, request)) {
            // No retry-after: a request that waits for tokens to refill would miss its target latency.
            actions.reject(request.id(), 0);
            return;
        }
        reserve(customer, request.units());
        jobs.put(request.id(), job);
        enqueue(job, false);
        dispatchQueued(now);
        if (job.attempts == 0 && !job.ended && request.maxQueueNanos() < Long.MAX_VALUE) {
            actions.startTimer(QUEUE_LIMIT_TOKEN, request.maxQueueNanos());
        }
    }

    /** Whether the queue ahead leaves time for the target latency; if not, rejecting at once is better. */
    private boolean canMeetTarget(Job job) {
        if (neededTime(job) / MIN_LATENCIES > allowedTime(job)) {
            return false;
        }
        if (queued == 0) {
            return true;
        }
        int ahead = job.customer.queue.size();
        for (int i = 0; i < queuedCustomers.size(); i++) {
            Customer other = queuedCustomers.get(i);
            boolean aheadOfIt = other != job.customer && other.virtualTime <= job.customer.virtualTime;
            ahead += aheadOfIt ? other.queue.size() : 0;
        }
        // A request that would be given up at the end of its queue time is rejected now.
        return ahead * meanSendGap <= job.request.maxQueueNanos()
                && ahead * meanSendGap + neededTime(job) <= allowedTime(job);
    }

    /** ns until the target latency or the client's deadline; a later response is of no use. */
    private long allowedTime(Job job) {
        return Math.min(job.requestClass.targetLatencyNanos(), job.deadline - job.arrivedAt);
    }

    /** At most half the target latency: a class that was slow must still be sent to show that it
     * recovered. */
    private double neededTime(Job job) {
        return Math.min(MIN_LATENCIES * latencies[job.request.requestClass()],
                job.requestClass.targetLatencyNanos() / 2.0);
    }

    private Customer customerOf(long now, Request request) {
        Customer customer = customers.get(request.customer());
        if (customer == null) {
            customer = new Customer();
            customer.id = request.customer();
            customer.plan = settings.plans().get(request.plan());
            customer.gateways = request.gatewaySubsetSize();
            customer.tokens = burst(customer.plan) / request.gatewaySubsetSize();
            customer.refilledAt = now;
            customer.lastSlice = sliceOf(now);
            Arrays.fill(customer.admitHistory, customer.admitShare);
            // After a restart, what was spent of the ceiling before is unknown: its bucket starts empty. For
            // a customer first seen later, what has filled since this gateway's start is certainly there.
            double filled = customer.plan.ceilingRatePerSecond() * (now - startedAt) / SECOND;
            customer.ceilingTokens = Math.min(customer.plan.ceilingBurstUnits(),
                    customer.plan.ceilingOverdraftUnits() + filled) / customer.gateways;
            customers.put(request.customer(), customer);
        }
        customer.gateways = request.gatewaySubsetSize();
        customer.recent = 1 + customer.recent * Math.exp((customer.lastSeenAt - now) / (double) EVICT_AFTER);
        customer.lastSeenAt = now;
        refill(customer, now);
        evictIdle(now);
        return customer;
    }

    /** Checks a few of the longest idle customers per request: no full sweep, and bounded state. */
    private void evictIdle(long now) {
        for (int checks = 0; checks < EVICTION_CHECKS; checks++) {
            Customer eldest = customers.values().iterator().next();
            if (now - eldest.lastSeenAt <= EVICT_AFTER) {
                return;
            }
            refill(eldest, now);
            if (eldest.inFlight == 0 && eldest.queue.isEmpty() && eldest.admitShare > NEARLY_ALL_ADMITTED
                    && eldest.tokens >= burst(eldest.plan) / eldest.gateways) {
                customers.remove(eldest.id);
            } else {
                customers.get(eldest.id); // moves it behind the others, or it would block their eviction
            }
        }
    }

    int customers() {
        return customers.size();
    }

    /** Whether the customer's bucket holds the units, or exceeding the quota pays and the fleet has room. */
    private boolean withinQuota(Customer customer, Request request) {
        Plan plan = customer.plan;
        if (plan.ratePerSecond() <= 0 && plan.maxConcurrency() > 0) {
            boolean fewGateways = customer.gateways <= FEW_GATEWAYS;
            double share = fewGateways ? 1 : Math.min(customer.admitShare, capShare(customer, request));
            return slotFreesInTime(customer, request) && admit(share, request);
        }
        if (rate(plan) <= 0 || customer.tokens >= request.units()) {
            return true;
        }
        // The overdraft is admitted once, with the admitted share's probability: a draw at each retry would
        // let heavy customers in. Of 14 gateways each saw one request of a usual customer in 15 s and, having
        // admitted it, rejected the next. Room for one request is left; it refills at the part's rate.
        double few = Math.min(1, FEW_GATEWAYS / customer.gateways);
        double maxDebt = maxOverdraft(customer);
        double allowedDebt = few >= 1 || value(request) < meanValue ? 0
                : Math.max(OVERDRAFT_CHANCE * (1 - few) * maxDebt, maxDebt - meanUnits);
        if (customer.tokens >= -allowedDebt && admit(customer.admitShare, request)) {
            return true;
        }
        return plan.overQuotaValue() > plan.overQuotaCost() && queued == 0 && fleetPace < 1;
    }

    /** A concurrency cap has no token bucket: a request over the cap is queued, and admitted only if one of
     * this gateway's slots should come free in time for its target latency. */
    private boolean slotFreesInTime(Customer customer, Request request) {
        int slots = capSlots(customer, request);
        double latency = latencies[request.requestClass()];
        int ahead = Math.max(0, customer.inFlight + customer.queue.size() + 1 - slots);
        long target = settings.classes().get(request.requestClass()).targetLatencyNanos();
        return (double) ahead / slots * latency + MIN_LATENCIES * latency
                <= Math.min(target, request.timeoutNanos());
    }

    /** Admitted share of a cap as told by the customer's own requests: many gateways with a slot each exceed
     * a cap together, and the meter's reading reaches each only with a response, seconds later. The requests
     * seen here estimate the customer's total concurrency: exponential prior with a part of the cap as its
     * mean, posterior from Poisson counts. */
    private double capShare(Customer customer, Request request) {
        double cap = customer.plan.maxConcurrency();
        double seen = EVICT_AFTER * (1 - Math.exp((startedAt - customer.lastSeenAt) / (double) EVICT_AFTER));
        double latency = latencies[request.requestClass()];
        double mean = customer.recent / (1 / (CAP_PRIOR_DEMAND * cap) + seen / (customer.gateways * latency));
        return Math.min(1, CAP_TARGET_USE * cap / mean);
    }

    /** Slots of a cap that this gateway may use: its even part, at least 1. One of many gateways gets one
     * more for a request of at least mean value while the meter shows room: arrivals are uneven, and the
     * other gateways' slots are mostly free. */
    private int capSlots(Customer customer, Request request) {
        int slots = Math.max(1, customer.plan.maxConcurrency() / customer.gateways);
        boolean room = customer.lastReading >= 0 && customer.admitShare > NEARLY_ALL_ADMITTED;
        return customer.gateways > FEW_GATEWAYS && room && value(request) >= meanValue ? slots + 1 : slots;
    }

    /** Each gateway enforces an even share of the ceiling's bucket and rate on its own. */
    private boolean withinCeiling(Customer customer, Request request) {
        return customer.plan.ceilingRatePerSecond() <= 0
                || customer.ceilingTokens - customer.ceilingReserved >= request.units();
    }

    private void reserve(Customer customer, double units) {
        drawTokens(customer, units);
        customer.ceilingReserved += units;
    }

    /** Refunds a request that was admitted but never sent: a quota counts a request when it is first sent. */
    private void refund(Job job) {
        Customer customer = job.customer;
        drawTokens(customer, -job.request.units());
        customer.ceilingReserved -= job.request.units();
    }

    /** Refunds a sent request if no attempt can have reached a backend whole: only then were units consumed.
     * Refunds the fair-queueing charge too, or a dead backend would cost the customer its turn. */
    private void refundIfUnsent(Job job, long now) {
        if (job.attempts == 0 || job.mayHaveArrived) {
            return;
        }
        Customer customer = job.customer;
        double units = job.request.units();
        refill(customer, now);
        drawTokens(customer, -units);
        double maxTokens = customer.plan.ceilingBurstUnits() / customer.gateways;
        customer.ceilingTokens = Math.min(maxTokens, customer.ceilingTokens + units);
        customer.virtualTime -= job.fairnessCharge;
    }

    /** Admits this share of all requests, rejecting the least valuable first. The original design admitted
     * all with the same probability; at 14 gateways the change earned a tenth of all value. */
    private boolean admit(double share, Request request) {
        if (share >= 1) {
            return true;
        }
        double worth = value(request);
        double higher = 0;
        double same = 0;
        for (int i = 0; i < classShare.length; i++) {
            higher += settings.classes().get(i).value() > worth ? classShare[i] : 0;
            same += settings.classes().get(i).value() == worth ? classShare[i] : 0;
        }
        return random.nextDouble() < (share - higher) / Math.max(same, 1e-9);
    }

    private double value(Request request) {
        return settings.classes().get(request.requestClass()).value();
    }

    private double maxOverdraft(Customer customer) {
        return Math.max(MIN_OVERDRAFT, MAX_TOTAL_OVERDRAFT / customer.gateways) * meanUnits;
    }

    private void drawTokens(Customer customer, double units) {
        customer.tokens = Math.max(-maxOverdraft(customer),
                Math.min(burst(customer.plan) / customer.gateways, customer.tokens - units));
    }

    /** The plan's rate, units/s; for a concurrency cap, the rate that fills it while no backend is slow. */
    private double rate(Plan plan) {
        return plan.ratePerSecond() > 0 ? plan.ratePerSecond()
                : plan.maxConcurrency() * meanUnits * SECOND / meanBaseLatency();
    }

    /** Mean unloaded latency, ns, over the classes as requested. */
    private double meanBaseLatency() {
        double mean = 0;
        for (int i = 0; i < classShare.length; i++) {
            mean += classShare[i] * baseLatencies[i];
        }
        return mean;
    }

    private double burst(Plan plan) {
        return plan.ratePerSecond() > 0 ? plan.burstUnits() : plan.maxConcurrency() * meanUnits;
    }

    private void refill(Customer customer, long now) {
        double seconds = (now - customer.refilledAt) / (double) SECOND;
        customer.refilledAt = now;
        Plan plan = customer.plan;
        if (rate(plan) > 0) {
            drawTokens(customer, -rate(plan) / customer.gateways * seconds);
        }
        double gap = customer.gateways * meanUnits * SECOND / Math.max(rate(plan), 1e-9);
        customer.admitShare += (1 - customer.admitShare)
                * (1 - Math.exp(-seconds * SECOND / Math.max(ADMIT_RECOVERY, gap)));
        customer.ceilingTokens = Math.min(plan.ceilingBurstUnits() / customer.gateways,
                customer.ceilingTokens + plan.ceilingRatePerSecond() / customer.gateways * seconds);
        long slice = sliceOf(now);
        for (long s = Math.max(customer.lastSlice + 1, slice - SLICES_KEPT + 1); s <= slice; s++) {
            customer.admitHistory[sliceIndex(s)] = customer.admitShare;
        }
        customer.lastSlice = slice;
    }

    // ---- Queue ------------------------------------------------------------------------------------------

    private void enqueue(Job job, boolean first) {
        Customer customer = job.customer;
        if (customer.queue.isEmpty()) {
            double lowest = Double.MAX_VALUE;
            for (int i = 0; i < queuedCustomers.size(); i++) {
                lowest = Math.min(lowest, queuedCustomers.get(i).virtualTime);
            }
            if (lowest < Double.MAX_VALUE) {
                customer.virtualTime = Math.max(customer.virtualTime, lowest);
            }
            queuedCustomers.add(customer);
        }
        if (first) {
            customer.queue.addFirst(job);
        } else {
            customer.queue.addLast(job);
        }
        queued++;
    }

    private void dequeue(Job job) {
        if (job.customer.queue.remove(job)) {
            queued--;
            if (job.customer.queue.isEmpty()) {
                queuedCustomers.remove(job.customer);
            }
        }
    }

    /** While a slot is free, sends the oldest request of the queued customer with the lowest virtual time. */
    private void dispatchQueued(long now) {
        while (!queuedCustomers.isEmpty()) {
            Customer next = null;
            for (int i = 0; i < queuedCustomers.size(); i++) {
                Customer customer = queuedCustomers.get(i);
                if (hasCapSlot(customer) && (next == null || customer.virtualTime < next.virtualTime)) {
                    next = customer;
                }
            }
            if (next == null) {
                break;
            }
            Job job = next.queue.peekFirst();
            if (tooLate(job, now)) {
                dequeue(job);
                finish(job, now);
                continue;
            }
            TrackedBackend backend = chooseBackend(job, now);
            if (backend == null) {
                break;
            }
            dequeue(job);
            send(job, backend, now);
        }
        scheduleQueueCheck();
    }

    /** Concurrency cap: this gateway's slots; requests over them stay queued. */
    private boolean hasCapSlot(Customer customer) {
        return customer.plan.maxConcurrency() <= 0
                || customer.inFlight < capSlots(customer, customer.queue.peekFirst().request);
    }

    /** Too late to be of value: its slot is better used by another request. */
    private boolean tooLate(Job job, long now) {
        boolean usefulLate = job.requestClass.lateValueShare() > 0 && queued <= 1
                && now + neededTime(job) <= job.deadline;
        return now + neededTime(job) > job.arrivedAt + allowedTime(job) && !usefulLate;
    }

    /** Final answer for a request with no attempt in flight: a rejection if the client may safely retry. */
    private void finish(Job job, long now) {
        if (job.attempts == 0) {
            refund(job);
        }
        refundIfUnsent(job, now);
        job.ended = true;
        if (job.backend == null) {
            jobs.remove(job.request.id());
        }
        boolean retrySafe = !job.mayHaveRun && job.backend == null
                || job.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || job.requestClass.idempotency() == Idempotency.KEYED
                && job.requestClass.dedupScope() == DedupScope.ALL;
        if (retrySafe) {
            actions.reject(job.request.id(), 0);
        } else {
            actions.fail(job.request.id());
        }
    }

    // ---- Load balancing ---------------------------------------------------------------------------------

    private TrackedBackend chooseBackend(Job job, long now) {
        if (inFlight + 1 > maxInFlight()) {
            int silent = 0;
            for (TrackedBackend backend : backends.values()) {
                silent += silent(backend, now);
            }
            if (inFlight - silent + 1 > maxInFlight()) {
                return null;
            }
        }
        TrackedBackend best = null;
        TrackedBackend bestUsable = null;
        double bestCost = Double.MAX_VALUE;
        double bestUsableCost = Double.MAX_VALUE;
        int ready = 0;
        int ejected = 0;
        int ties = 1;
        for (TrackedBackend backend : backends.values()) {
            backend.cost = Double.MAX_VALUE;
            if (!backend.ready) {
                continue;
            }
            ready++;
            boolean healthy = now >= backend.ejectedUntil && !backend.probing;
            ejected += healthy ? 0 : 1;
            if (backend.inFlight - silent(backend, now)
                    >= Math.max(1, backend.limit * capacityShare(backend, now))
                    || !inDedupScope(job, backend)
                    || capacityShare(backend, now) < 1 && backend.coldCredit < 1) {
                continue;
            }
            double cost = cost(backend, now);
            if (cost < bestCost || cost == bestCost && random.nextInt(++ties) == 0) {
                ties = cost < bestCost ? 1 : ties;
                best = backend;
                bestCost = cost;
            }
            boolean idle = now >= backend.ejectedUntil && backend.inFlight == 0;
            boolean usable = healthy || idle && mayProbe(job, backend, now);
            backend.cost = usable ? cost : Double.MAX_VALUE;
            if (usable && (cost < bestUsableCost || backend == best)) {
                bestUsable = backend;
                bestUsableCost = cost;
            }
        }
        return bestUsable == null ? ejected > MAX_EJECTED_SHARE * ready ? best : null
                : nextOnRing(bestUsable);
    }

    /** The in-flight limit, plus an allowance for chance while the mean in flight is below this gateway's
     * minimum part. With one slot per backend at 0.6 of the capacity, responses take twice their unloaded
     * latency and cut the limit to the mean: one request in thirteen was rejected, none for lack of capacity.
     * In overload the mean reaches the part, and the limit alone decides. */
    private double maxInFlight() {
        double share = MIN_PER_BACKEND * fleetSize / gatewaysPerBackend;
        double burst = meanInFlight < share ? share + BURST_DEVIATIONS * Math.sqrt(share) : MIN_IN_FLIGHT;
        return Math.max(Math.max(MIN_IN_FLIGHT, totalLimit), burst);
    }

    /** Updates the mean of the attempts in flight from here over the last seconds. */
    private void updateMeanInFlight(long now) {
        meanInFlight = inFlight + (meanInFlight - inFlight) * Math.exp((meanInFlightAt - now) / PACE_DECAY);
        meanInFlightAt = now;
    }

    /** Among backends whose cost equals the best within noise, the next on the ring; only with an aperture.
     * One fast response makes a backend the favourite for seconds, and with few gateways per backend one more
     * or less shows: some backends got half as much traffic again as others. */
    private TrackedBackend nextOnRing(TrackedBackend best) {
        if (gatewaysPerBackend >= settings.gatewayCount()) {
            return best;
        }
        double noise = Math.sqrt(latencyVariance * PACE_WEIGHT / (2 - PACE_WEIGHT));
        double maxCost = best.cost * (1 + NOISE_DEVIATIONS * noise);
        TrackedBackend next = best;
        for (TrackedBackend backend : backends.values()) {
            if (backend.cost <= maxCost && Long.compareUnsigned(
                    backend.ringPosition - ringCursor, next.ringPosition - ringCursor) < 0) {
                next = backend;
            }
        }
        ringCursor = next.ringPosition + 1;
        return next;
    }

    /** Probing an unhealthy backend may cost a request: only one that may be repeated, unless none came. */
    private boolean mayProbe(Job job, TrackedBackend backend, long now) {
        boolean repeatable = job.requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
        return !backend.unhealthy || repeatable || now >= backend.ejectedUntil + UNSAFE_PROBE_AFTER;
    }

    /** Expected completion time relative to a typical backend: pace times (1 + load per weight). A large idle
     * backend costs no less than a small one, or many gateways with nothing in flight would all choose it. */
    private double cost(TrackedBackend backend, long now) {
        double cost = pace(backend, now)
                * (1 + (backend.inFlight + 0.5 * backend.reportedQueue) / relativeWeight(backend));
        boolean crosses = settings.crossZoneCost() > 0 && backend.entry.zone() != settings.zone();
        return crosses ? cost * (1 + CROSS_ZONE_EXTRA) : cost;
    }

    /** Attempts in flight for so long that they no longer count against a limit: one that never ends would
     * hold all of a small in-flight limit, or its backend's only slot, until its client leaves, and nothing
     * would be sent. Also guards against a network partition, where no attempt ends. Drawback: a backend that
     * is merely slow gets that many more, if its pace still makes it the best. */
    private int silent(TrackedBackend backend, long now) {
        if (backend.inFlight == 0 || !silent(backend.jobs.peekFirst(), now)) {
            return 0;
        }
        int silent = 0;
        for (Job job : backend.jobs) {
            if (!silent(job, now)) {
                break;
            }
            silent++;
        }
        return silent;
    }

    private boolean silent(Job job, long now) {
        return now - job.sentAt >= SILENT_LATENCIES * latencies[job.request.requestClass()];
    }

    private double pace(TrackedBackend backend, long now) {
        double pace = backend.pace;
        if (pace != 1) {
            pace = 1 + (pace - 1) * Math.exp((backend.paceAt - now) / PACE_DECAY);
        }
        if (backend.inFlight > 0) {
            Job oldest = backend.jobs.peekFirst();
            double age = (now - oldest.sentAt) / latencies[oldest.request.requestClass()];
            if (age > STALL_LATENCIES) {
                pace = Math.max(pace, age / 2);
            }
        }
        return Math.max(0.2, pace);
    }

    private double relativeWeight(TrackedBackend backend) {
        return (backend.entry.weight() > 0 ? backend.entry.weight() : 1) / meanWeight;
    }

    private boolean inDedupScope(Job job, TrackedBackend backend) {
        if (!job.mayHaveRun || job.requestClass.idempotency() != Idempotency.KEYED
                || job.requestClass.dedupScope() == DedupScope.ALL) {
            return true;
        }
        return job.requestClass.dedupScope() == DedupScope.ZONE
                ? backend.entry.zone() == job.mayHaveRunOn.entry.zone()
                : backend.entry.cell() == job.mayHaveRunOn.entry.cell();
    }

    private void send(Job job, TrackedBackend backend, long now) {
        Customer customer = job.customer;
        if (job.attempts == 0) {
            job.fairnessCharge = fairnessCharge(customer, job.request.units());
            customer.virtualTime += job.fairnessCharge;
            // The ceiling is charged at the first send: while a request is queued its bucket must not refill.
            refill(customer, now);
            customer.ceilingTokens -= job.request.units();
            customer.ceilingReserved -= job.request.units();
        } else {
            retryBudget -= 1;
        }
        if (queued > 0) {
            meanSendGap += GAP_WEIGHT * (now - lastSentAt - meanSendGap);
        }
        lastSentAt = now;
        job.attempts++;
        job.backend = backend;
        job.sentAt = now;
        updateMeanInFlight(now);
        backend.inFlight++;
        inFlight++;
        customer.inFlight++;
        backend.jobs.addLast(job);
        backend.coldCredit -= 1;
        if (job.attempts == 1 && !allCold(now)) {
            grantColdCredit(now);
        }
        actions.send(job.request.id(), backend.entry.id(), attemptTimeout(job));
    }

    /** Mostly 0, no timeout before the client's: an attempt cut short still runs at the backend, and its
     * retry adds load just when all are slow; the oldest attempt reveals a hung backend. But under a cap, a
     * silent attempt must not keep its slot from queued requests long after its response is of value. */
    private long attemptTimeout(Job job) {
        double minimum = CAP_TIMEOUT_LATENCIES * latencies[job.request.requestClass()];
        return job.customer.plan.maxConcurrency() <= 0 ? 0
                : (long) Math.max(job.requestClass.targetLatencyNanos() * CAP_TIMEOUT_TARGETS, minimum);
    }

    /** Quadratic charge: the units, plus the units again for each typical request's worth of them. */
    private double fairnessCharge(Customer customer, double units) {
        return (units + units * units / meanUnits) / fairnessWeight(customer.plan);
    }

    /** Fair-queueing weight: value of what the plan sells, price times rate (or the rate a cap allows). */
    private double fairnessWeight(Plan plan) {
        double rate = rate(plan);
        return rate * plan.price() <= 0 ? 1 : rate * plan.price();
    }

    // ---- Responses --------------------------------------------------------------------------------------

    @Override
    public void onAttemptEnd(long now, AttemptReport report) {
        Job job = jobs.get(report.requestId());
        TrackedBackend backend = backends.get(report.backendId());
        if (report.quotaUsedPercent() >= 0 && job != null) {
            refill(job.customer, now);
            applyReading(job.customer, report.quotaUsedPercent(), now);
        }
        if (backend != null && report.load() != null) {
            backend.reportedQueue = Double.isNaN(report.load().queuedRequests()) ? 0
                    : report.load().queuedRequests();
            backend.reportedCpu = Double.isNaN(report.load().cpuUtilization()) ? 0
                    : report.load().cpuUtilization();
        }
        if (job == null || job.backend == null) {
            return;
        }
        backend = job.backend;
        backend.inFlight--;
        backend.jobs.remove(job);
        job.customer.inFlight--;
        job.backend = null;
        updateMeanInFlight(now);
        inFlight--;
        observe(backend, job, report, now);
        job.mayHaveArrived |= report.outcome().mayHaveRun || report.outcome() == Outcome.FULL;
        if (report.outcome().mayHaveRun && !job.mayHaveRun) {
            job.mayHaveRun = true;
            job.firstMayHaveRunAt = job.sentAt;
            job.mayHaveRunOn = backend;
        }
        if (report.actualUnits() > 0) {
            settle(job, report.actualUnits());
        }
        if (report.requestEnded() || job.ended) {
            job.ended = true;
            jobs.remove(report.requestId());
            refundIfUnsent(job, now);
        } else if (mayRetry(job, now)) {
            enqueue(job, true);
        } else {
            finish(job, now);
        }
        dispatchQueued(now);
    }

    private void settle(Job job, double units) {
        Customer customer = job.customer;
        double difference = units - job.request.units();
        customer.virtualTime += fairnessCharge(customer, units)
                - fairnessCharge(customer, job.request.units());
        if (customer.plan.ratePerSecond() > 0) {
            drawTokens(customer, difference);
        }
    }

    private boolean mayRetry(Job job, long now) {
        if (job.attempts >= settings.maxAttempts() || retryBudget < 1
                || now + RESPONSE_MARGIN >= job.deadline) {
            return false;
        }
        return !job.mayHaveRun || job.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || job.requestClass.idempotency() == Idempotency.KEYED && inDedupWindow(job, now);
    }

    private boolean inDedupWindow(Job job, long now) {
        return now + DEDUP_MARGIN < job.firstMayHaveRunAt + job.requestClass.dedupWindowNanos();
    }

    /** Updates the backend's health, pace and limit, and the estimates of the fleet, from an outcome. */
    private void observe(TrackedBackend backend, Job job, AttemptReport report, long now) {
        Outcome outcome = report.outcome();
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            // A single connection may break; a dead process refuses connections or breaks all of them.
            backend.connectFailed |= outcome == Outcome.CONNECT_FAILED;
            backend.resets = now - backend.lastResetAt > RESET_WINDOW ? 1 : backend.resets + 1;
            backend.lastResetAt = now;
            if ((backend.connectFailed || backend.resets >= DEAD_AFTER_RESETS)
                    && now >= backend.ejectedUntil) {
                backend.dead |= backend.probing && outcome == Outcome.CONNECT_FAILED;
                eject(backend, now);
            }
            return;
        }
        if (outcome == Outcome.FULL) {
            backend.limit = Math.max(minLimit(), backend.limit * LIMIT_CUT);
        }
        if (outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            recordError(backend, outcome, now);
            return;
        }
        if (outcome != Outcome.OK && outcome != Outcome.TIMED_OUT) {
            return;
        }
        if (outcome == Outcome.OK) {
            if (backend.dead) {
                // A restarted process is cold, though the list may report it later. A backend that refused
                // once and passes its probe was not dead: a full accept queue, a reset in transit or a slow
                // handshake look the same, and slow start of healthy backends starves all. Drawback: one that
                // is back within its first ejection gets full load until the list reports it.
                markCold(backend, now);
            }
            backend.dead = false;
            backend.connectFailed = false;
            backend.resets = 0;
            recordSuccess(backend);
        }
        int kind = job.request.requestClass();
        double tookNanos = report.durationNanos();
        if (outcome == Outcome.TIMED_OUT) {
            // The time until a timeout tells when the attempt was given up, and so something of its backend
            // only. A few of them would cut the fleet's in-flight limit and inflate the typical latency, and
            // so the time that requests seem to need: those of capped plans were all rejected for seconds,
            // with no slot in use. Also guards against requests that hang everywhere. Drawback: if all
            // backends slow down past every deadline, only the paces show it.
            backend.pace = Math.max(pace(backend, now), Math.min(20, tookNanos / latencies[kind] / 2));
            backend.paceAt = now;
            return;
        }
        // Adapts the limit of all in flight from here: one backend tells a gateway among many too little.
        double target = Math.max(TOTAL_STRETCH * baseLatencies[kind],
                TOTAL_TARGET_SHARE * job.requestClass.targetLatencyNanos());
        double stretch = tookNanos / target / Math.max(1, pace(backend, now));
        fleetPace += FLEET_WEIGHT * (Math.min(MAX_STRETCH, stretch) - fleetPace);
        if (fleetPace > 1) {
            if (now > totalLimitCutAt + tookNanos) {
                totalLimit = Math.max(MIN_IN_FLIGHT, Math.min(totalLimit, inFlight + 1) * LIMIT_CUT);
                totalLimitCutAt = now;
            }
        } else if (inFlight + 2 > totalLimit || inFlight + 1 >= LIMIT_CUT * totalLimit) {
            // At the limit if one more would not have fitted: from 1.25 to 2 it would otherwise never grow.
            double step = Math.max(1, fleetSize / gatewaysPerBackend);
            totalLimit = Math.min(MAX_LIMIT * fleetSize, totalLimit + step / Math.max(1, totalLimit));
        }
        double ratio = Math.min(20, tookNanos / latencies[kind]);
        double deviation = Math.min(MAX_STRETCH, ratio) - 1;
        latencyVariance += Math.max(LATENCY_WEIGHT, 1.0 / (latencySamples[kind] + 1))
                * (deviation * deviation - latencyVariance);
        backend.pace = pace(backend, now);
        backend.pace += PACE_WEIGHT * (ratio - backend.pace);
        backend.paceAt = now;
        latencies[kind] += Math.max(LATENCY_WEIGHT, 1.0 / ++latencySamples[kind])
                * (tookNanos - latencies[kind]);
        baseLatencies[kind] = Math.min(baseLatencies[kind] * (1 + 0.0001), latencies[kind]);
        double expected = backend.pace * latencies[kind];
        if (expected > Math.max(LIMIT_STRETCH * baseLatencies[kind],
                LIMIT_TARGET_SHARE * job.requestClass.targetLatencyNanos())) {
            if (now > backend.limitCutAt + expected) {
                backend.limit = Math.max(minLimit(),
                        Math.min(backend.limit, backend.inFlight + 1) * LIMIT_CUT);
                backend.limitCutAt = now;
            }
        } else if (backend.inFlight + 1 >= 0.8 * backend.limit) {
            backend.limit = Math.min(MAX_LIMIT, backend.limit + Math.min(backend.limit, 1 / backend.limit));
        }
    }

    /** Each probe of an unhealthy backend costs a request: the more gateways, the rarer each one probes. */
    private void eject(TrackedBackend backend, long now) {
        double factor = backend.errorEvidence < UNHEALTHY_EVIDENCE ? 1
                : Math.max(1, gatewaysPerBackend / FEW_GATEWAYS);
        double ejection = Math.max(MIN_EJECTION * factor, 2 * backend.ejectionNanos);
        backend.ejectionNanos = (long) Math.min(MAX_EJECTION * factor, ejection);
        backend.ejectedUntil = now + backend.ejectionNanos;
        backend.probing = true;
    }

    /** A backend that fails fast looks like the fastest and least loaded, and a draining one rejects all long
     * before the list says so: both drew a third of all attempts, each gateway finding out alone. Each error
     * adds the log-likelihood ratio of an unhealthy backend against the others (Page's cumulative sum test),
     * each success subtracts; where all fail now and then, one error says little. Drawback: while the error
     * rate is not known yet, some healthy backends are ejected for half a second. */
    private void recordError(TrackedBackend backend, Outcome outcome, long now) {
        backend.errors++;
        backend.errorEvidence += Math.max(0,
                Math.log(UNHEALTHY_ERROR_RATE / Math.max(MIN_ERROR_RATE, errorRate)));
        if (backend.errorEvidence < UNHEALTHY_EVIDENCE) {
            return;
        }
        backend.errorEvidence = Math.min(MAX_EVIDENCE, backend.errorEvidence);
        backend.unhealthy = outcome == Outcome.ERROR;
        if (now >= backend.ejectedUntil) {
            eject(backend, now);
        }
    }

    /** A success: healthy again once these outweigh the errors, which then count as the usual error rate. */
    private void recordSuccess(TrackedBackend backend) {
        backend.errorEvidence += Math.log((1 - UNHEALTHY_ERROR_RATE)
                / (1 - Math.min(UNHEALTHY_ERROR_RATE, errorRate)));
        errorRate -= ERROR_WEIGHT * errorRate;
        if (backend.errorEvidence <= 0) {
            errorRate = Math.min(1, errorRate + ERROR_WEIGHT * backend.errors);
            backend.errors = 0;
            backend.errorEvidence = 0;
            backend.unhealthy = false;
            backend.probing = false;
            backend.ejectionNanos = 0;
        }
    }

    // ---- The meter --------------------------------------------------------------------------------------

    private long sliceOf(long now) {
        return settings.meteringPeriodNanos() > 0
                ? now / Math.max(1, settings.meteringPeriodNanos() / SLICES_PER_PERIOD) : 0;
    }

    private static int sliceIndex(long slice) {
        return (int) Math.floorMod(slice, (long) SLICES_KEPT);
    }

    /** Applies a reading if it is of a new period: many responses repeat one, and none names its period. */
    private void applyReading(Customer customer, int percent, long now) {
        double period = settings.meteringPeriodNanos();
        if (period <= 0) {
            return;
        }
        boolean changed = percent != customer.lastReading;
        if (changed && customer.lastReading >= 0
                && now - customer.lastReadingAt < period / SLICES_PER_PERIOD) {
            // A change between two close responses shows when the meter publishes.
            double drift = meterPhaseKnown ? Math.IEEEremainder(now - meterPublishedAt, period) : 0;
            meterPublishedAt = meterPhaseKnown ? meterPublishedAt + 0.1 * drift : now;
            meterPhaseKnown = true;
        }
        long epoch = (long) Math.floor((now - meterPublishedAt) / period);
        if (changed && epoch <= customer.lastEpoch) {
            epoch = customer.lastEpoch + 1;
        }
        customer.lastReadingAt = now;
        customer.lastReading = percent;
        if (epoch <= customer.lastEpoch) {
            return;
        }
        customer.lastEpoch = epoch;
        long end = sliceOf((long) (meterPublishedAt + epoch * period - DEFAULT_METER_LAG * period));
        double share = 0;
        for (long s = end - SLICES_PER_PERIOD; s < end; s++) {
            share += customer.admitHistory[sliceIndex(s)] / SLICES_PER_PERIOD;
        }
        double used = percent / 100.0;
        if (customer.plan.ratePerSecond() <= 0) {
            // For a cap it is the peak concurrency in a period, which is above the mean by chance.
            customer.admitShare = Math.min(1, share * CAP_PEAK_USE / Math.max(CAP_PEAK_USE / 2, used));
            return;
        }
        double noise = READING_NOISE * meanUnits;
        double due = rate(customer.plan) * period / SECOND;
        customer.admitShare = Math.min(1, share * (noise + due) / (noise + due * used));
        drawTokens(customer, -READING_GAIN * due * (1 - used));
    }

    // ---- Backend list, slow start -----------------------------------------------------------------------

    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {
        if (whole) {
            for (TrackedBackend backend : backends.values()) {
                backend.ready = false;
            }
        }
        for (Backend entry : entries) {
            TrackedBackend backend = backends.computeIfAbsent(entry.id(), this::track);
            boolean restarted = backend.entry == null
                    || backend.entry.startedAtNanos() != entry.startedAtNanos();
            backend.entry = entry;
            backend.ready = entry.state() == DiscoveryState.READY;
            if (backend.limit == 0 || restarted) {
                backend.limit = Math.max(minLimit(), INITIAL_LIMIT / gatewaysPerBackend);
            }
            if (restarted && entry.startedAtNanos() > 0) {
                markCold(backend, entry.startedAtNanos());
                backend.ejectedUntil = 0;
                backend.errorEvidence = 0;
                backend.unhealthy = false;
                backend.pace = 1;
            }
        }
        double sum = 0;
        int n = 0;
        for (Iterator<TrackedBackend> it = backends.values().iterator(); it.hasNext();) {
            TrackedBackend backend = it.next();
            if (backend.ready) {
                sum += backend.entry.weight() > 0 ? backend.entry.weight() : 1;
                n++;
            } else if (backend.inFlight == 0) {
                it.remove();
            }
        }
        meanWeight = n == 0 ? 1 : sum / n;
        if (fleetSize == 0) {
            totalLimit = INITIAL_LIMIT * n / gatewaysPerBackend;
        }
        fleetSize = n;
        dispatchQueued(now);
    }

    /** The ring is ordered by a seeded hash: no two gateways have the same order. */
    private TrackedBackend track(long id) {
        TrackedBackend backend = new TrackedBackend();
        backend.ringPosition = Aperture.mix(id ^ ringSalt);
        return backend;
    }

    @Override
    public void onGatewaysPerBackend(long now, double gateways) {
        Gateway.requireInRange(gateways >= 1, "onGatewaysPerBackend");
        gatewaysPerBackend = gateways;
    }

    private double minLimit() {
        return Math.min(1, MIN_TOTAL_LIMIT / gatewaysPerBackend);
    }

    @Override
    public void onDiscoveryFailure(long now) {
        if (settings.subscribesToBackends()) {
            actions.subscribeBackends();
        }
    }

    /** Share of its capacity that a backend certainly has: it rises at least linearly during slow start. */
    private double capacityShare(TrackedBackend backend, long now) {
        if (backend.coldSince == Long.MIN_VALUE || now - backend.coldSince >= settings.slowStartNanos()) {
            return 1;
        }
        double age = Math.max(0, now - backend.coldSince) / (double) settings.slowStartNanos();
        return settings.coldCapacityShare() + (1 - settings.coldCapacityShare()) * age;
    }

    private void markCold(TrackedBackend backend, long since) {
        backend.coldSince = Math.max(backend.coldSince, since);
        // A random phase: the sends of all gateways together are even from the start, instead of one each.
        backend.coldCredit = random.nextDouble();
        if (!coldBackends.contains(backend)) {
            coldBackends.add(backend);
        }
    }

    private boolean allCold(long now) {
        int ready = 0;
        for (int i = 0; i < coldBackends.size(); i++) {
            ready += coldBackends.get(i).ready && capacityShare(coldBackends.get(i), now) < 1 ? 1 : 0;
        }
        return ready > 0 && ready >= fleetSize;
    }

    /** Each request's first send, to any backend, earns every cold backend a part of a send: its part of the
     * fleet's capacity, times half the overload factor. So all gateways together send it in proportion to
     * what they send a warm one, whatever their number; one with little traffic mostly sends it nothing.
     * Retries earn nothing, or the loss of other backends would. If all are cold, each request within its
     * quota earns credit, sent or not, or none would ever be sent. Credit unused within the overload span
     * expires: otherwise each of many gateways would hold some, and all of it would be spent at once when
     * others are lost. */
    private void grantColdCredit(long now) {
        double capacity = fleetSize;
        for (int i = coldBackends.size() - 1; i >= 0; i--) {
            if (capacityShare(coldBackends.get(i), now) >= 1) {
                coldBackends.remove(i);
            } else if (coldBackends.get(i).ready) {
                capacity -= (1 - capacityShare(coldBackends.get(i),
                        now)) * relativeWeight(coldBackends.get(i));
            }
        }
        capacity = Math.max(capacity, (allCold(now) ? MIN_CAPACITY_ALL_COLD
                : MIN_CAPACITY_SHARE) * fleetSize);
        double multiple = COLD_LOAD_SHARE * settings.overloadFactor();
        for (int i = 0; i < coldBackends.size(); i++) {
            TrackedBackend backend = coldBackends.get(i);
            double credit = backend.coldCredit;
            if (credit >= 1 && now > backend.coldCreditExpiresAt) {
                credit -= 1;
                backend.coldCreditExpiresAt = now + settings.overloadNanos();
            }
            double share = capacityShare(backend, now) * relativeWeight(backend) / capacity;
            backend.coldCredit = Math.min(MAX_COLD_CREDIT, credit + multiple * share);
            if (credit < 1 && backend.coldCredit >= 1) {
                backend.coldCreditExpiresAt = now + settings.overloadNanos();
            }
        }
    }

    // ---- Timers -----------------------------------------------------------------------------------------

    @Override
    public void onTimer(long now, int token) {
        checkScheduled &= token != QUEUE_CHECK_TOKEN;
        ArrayList<Job> due = new ArrayList<>(0);
        for (int i = 0; i < queuedCustomers.size(); i++) {
            for (Job job : queuedCustomers.get(i).queue) {
                if (now + RESPONSE_MARGIN >= job.deadline || tooLate(job, now)
                        || job.attempts == 0 && now - job.arrivedAt >= job.request.maxQueueNanos()
                        || job.mayHaveRun && job.requestClass.idempotency() == Idempotency.KEYED
                                && !inDedupWindow(job, now)) {
                    due.add(job);
                }
            }
        }
        for (Job job : due) {
            dequeue(job);
            finish(job, now);
        }
        dispatchQueued(now);
    }

    /** The timer runs only while something is queued: an attempt in flight ends with its response. */
    private void scheduleQueueCheck() {
        if (queued > 0 && !checkScheduled) {
            checkScheduled = true;
            actions.startTimer(QUEUE_CHECK_TOKEN, QUEUE_CHECK_NANOS);
        }
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
        Job job = jobs.get(requestId);
        if (job == null) {
            return;
        }
        job.ended = true;
        if (job.backend == null) {
            dequeue(job);
            jobs.remove(requestId);
            if (job.attempts == 0) {
                refund(job);
            }
            refundIfUnsent(job, now);
        }
    }
}
