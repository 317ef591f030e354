package nettletrail.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All decisions of one gateway. Its interface (types, events, actions) is in Gateway.java.
 *
 * <p>The sections follow a request's life: it arrives and is measured against its customer's quota, waits in
 * its customer's queue, is sent when its customer has the lowest counter and a backend has a free slot, and
 * is settled by its answer. After these come the meter, the list of backends and the clock.
 *
 * <p>Where many gateways each see little (FEW_GATEWAYS), a part of a store or of a cap is smaller than one
 * request: chance is allowed for, and of what is beyond a quota the least worth is refused first.
 */
public final class GatewayDecider implements Gateway {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    // The clock.
    /** ns between two looks at what waits; well inside the slack that a late final answer has. */
    private static final long LOOK_EVERY = 10 * MS;
    /** Tokens of the looks that come every so often, and at the end of a request's own hold. */
    private static final int LOOK = 0;
    private static final int HOLD_OVER = 1;
    /** ns before the client leaves at which a held request gets its final answer: two looks and a tick. */
    private static final long ANSWER_MARGIN = 30 * MS;
    /** ns without a request after which a customer whose stores are full again is forgotten. */
    private static final long FORGET_AFTER = 20 * SECOND;
    /** Customers looked at for that at an arrival: more than one, so that their number also falls again. */
    private static final int FORGET_LOOKS = 2;
    /** A let-in share below this is worth remembering. */
    private static final double LET_NEAR_ALL = 0.9;

    // Quota and meter.
    /** Slices a meter period is kept in, so that a reading can be laid over what was let in then. */
    private static final int SLICES = 8;
    /** Slices remembered: five periods, more than a late reading looks back. */
    private static final int RING = 5 * SLICES;
    /** Periods from the end of a metered period to the first answer that tells it, until learned better. */
    private static final double USUAL_LAG = 0.75;
    /** Requests by which all parts may be overdrawn together, so that each comes back within seconds. */
    private static final double MOST_OVERDRAWN = 12;
    /** But each by one at least: at a small part of many, one request is more than the part holds at all. */
    private static final double LEAST_OVERDRAWN = 1;
    /**
     * Up to this many gateways, the load on one tells the load on all. With more, one request more or less
     * is chance, and the admitted share alone decides up to CHANCE of the allowed overdraft.
     */
    private static final double FEW_GATEWAYS = 3;
    private static final double CHANCE = 0.9;
    /**
     * Mean share of a concurrency cap to use: there one more request costs what it earns, for random
     * arrivals, caps of 2 to 6 and an excess cost of 0.6 to 1 of the value. With 0.5, as much was served and
     * a third more was paid for requests over the cap. */
    private static final double CAP_FILLED = 0.35;
    /** Part of its cap that a customer asks who is not known yet: half of what comes first is let in. */
    private static final double CAP_ASKED = 0.65;
    /** Parts of a cap that a meter tells, as the most out at once, where good use is made of the cap. */
    private static final double CAP_IN_USE = 1.1;
    /** Share of the room that a reading tells which this gateway's part gains. */
    private static final double GAIN = 0.3;
    /** Requests that a reading is weighed against: few in a period say little of the rate. */
    private static final double READING_NOISE = 3;
    /** ns in which a let-in share with no reading comes back to 1, at least: more than a late meter's lag. */
    private static final double LET_BACK = 20.0*SECOND;


    /** An attempt keeps a slot of a cap for so many of its aims, or of usual latencies if that is more. */
    private static final double SLOT_AIM = 1.5;
    private static final double STALLED = 6;

    // Bound and choice.
    /** Attempts out at a backend at first, by all gateways together; adapts from there. */
    private static final double FIRST_LIMIT = 12;
    /** Attempts out at a backend at least, by all gateways together (at most a slot each). */
    private static final double LEAST_TOGETHER = 4;
    /** No more slots than this at one backend: past any use of waiting there. */
    private static final double MOST_LIMIT = 256;
    /** Latency, as a multiple of the unloaded one, up to which a backend may be filled further. */
    private static final double FULL_PACE = 1.5;
    /** Share of the aim that time at the backend may always take. */
    private static final double AIM_SHARE = 0.15;
    /** Attempts in flight from here that are always allowed: who sends nothing learns nothing. */
    private static final double LEAST_BOUND = 1;
    /**
     * While fewer than this many attempts per backend (one running, one queued; all gateways together) are
     * in flight on average, a gateway may exceed its part by so many standard deviations (Poisson).
     */
    private static final double LEAST_EACH = 2;
    private static final double CHANCE_DEVIATIONS = 3;
    /** Costs that differ by fewer standard deviations of a pace's own noise are taken for equal. */
    private static final double NOISE_DEVIATIONS = 2;
    /** An answer counts as so many times what cuts the bound at most: one stall is no jam. */
    private static final double MOST_STRETCH = 3;
    /** The bound is cut while answers take this many unloaded latencies, and this share of their aim. */
    private static final double BOUND_PACE = 2;
    private static final double BOUND_AIM = 0.3;
    /** Weight of a new latency in the fleet's pace. */
    private static final double FLEET_WEIGHT = 0.1;
    /** What a limit keeps when a backend answers too slowly. */
    private static final double LIMIT_CUT = 0.8;
    /** Weight of a new latency in a backend's pace, and in a class's usual latency. */
    private static final double PACE_WEIGHT = 0.05;
    private static final double CLASS_WEIGHT = 0.03;
    /** Answers that a fifth of the aim, taken for the latency at first, weighs as much as. */
    private static final int CLASS_PRIOR = 4;
    /** ns in which a pace not refreshed drifts back to the usual, which gives a slow backend its trial. */
    private static final double PACE_FORGET = 5.0 * SECOND;
    /** An attempt out for more than this many usual latencies speaks for a stall. */
    private static final double STALL_AGE = 3;
    /** A held request goes only while this many usual latencies are left: most then end inside the aim. */
    private static final double HOPE = 2;
    /** Weight of a new gap between two sends while others wait. */
    private static final double GAP_WEIGHT = 0.03;
    /** An attempt out for more than this many usual latencies says nothing more of what fits. */
    private static final double SILENT = 5;
    /** Extra cost of a backend in another zone, where crossing has a price. */
    private static final double CROSS_EXTRA = 0.5;

    // Health, attempts, cold backends.
    /** ns a backend is left alone after a failed connect or a reset; doubled at each failed trial. */
    private static final long FIRST_BLOCK = SECOND / 2;
    /** Connections broken in a row after which a backend is taken for dead; one refused connect is enough. */
    private static final int DEAD_AFTER = 3;
    /** ns after which a break is no longer one of a row: a dead process breaks all connections at once. */
    private static final long BROKEN_SPAN = 2 * SECOND;
    private static final long MOST_BLOCK = 4 * SECOND;
    /** If more than this share of the backends is blocked, the trouble is elsewhere: use them all. */
    private static final double MOST_BLOCKED = 0.5;
    /** Share of bad answers of an unwell backend; and at least, where none were seen, of the others. */
    private static final double BAD_RATE = 0.8;
    private static final double LEAST_BAD = 0.002;
    /** Log of the odds from which on bad answers say that a backend is unwell, and what they are held to. */
    private static final double UNWELL = 4;
    private static final double MOST_DOUBT = 5;
    /** Weight of an answer in the share of bad ones among sound backends. */
    private static final double BAD_WEIGHT = 0.02;
    /** ns that an unwell backend's trial waits for a request that can be repeated. */
    private static final long UNSAFE_TRIAL = 8 * SECOND;
    /** A further attempt costs one; each request earns this much, up to the most. */
    private static final double RETRY_EARNED = 0.2;
    private static final double MOST_RETRIES = 20;
    /** ns of the keyed window that are not used: time on the way. */
    private static final long WINDOW_MARGIN = 200 * MS;
    /** A cold backend's part of the overload multiple; the rest is for warm ones loaded above capacity. */
    private static final double COLD_PART = 0.5;
    /** Sends to a cold backend that a gateway may save up, each for the overload span. */
    private static final double COLD_SAVED = 2;
    /** Share of the fleet's capacity taken to be there at least; with all cold each gets all that it may. */
    private static final double LEAST_WARM = 0.45;
    private static final double LEAST_WARM_ALL_COLD = 0.75;

    private static final class Customer {
        long id;
        Plan plan;
        int setSize;
        final ArrayDeque<Job> waiting = new ArrayDeque<>();
        double counter;
        double store;
        double let = 1;
        double ceiling;
        double reserved;
        long filledAt;
        long seenAt;
        /** Its requests that came here, older ones for less. */
        double seen;
        int out;
        // The share in force in each slice of the last periods, and whether anyone was refused for the quota.
        final double[] letThen = new double[RING];
        long slice;
        int lastReading = -1;
        long lastEpoch = Long.MIN_VALUE;
        long lastReadingAt;
    }

    private static final class Job {
        Request request;
        Customer customer;
        RequestClass kind;
        long arrivedAt;
        long leavesAt;
        int attempts;
        boolean mayHaveCome;
        double charged;
        boolean mayHaveRun;
        long firstMaybeRunAt;
        Server ranAt;
        Server at;
        long sentAt;
        boolean ended;
    }

    private static final class Server {
        Backend entry;
        boolean ready;
        int out;
        double limit;
        double pace = 1;
        long pacedAt;
        long cutAt;
        final ArrayDeque<Job> jobs = new ArrayDeque<>();
        long blockedUntil;
        long block;
        boolean onTrial;
        boolean unreached;
        boolean unwell;
        double doubt;
        int badAnswers;
        boolean dead;
        int broken;
        long brokeAt;
        long coldSince = Long.MIN_VALUE;
        double waiting;
        double busy;
        double coldCredit;
        long coldCreditUntil;
        /** Its place on the ring of backends, in an order of this gateway's own. */
        long place;
        /** Of the choice under way: the cost of one that may be sent to. */
        double cost;
    }

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final long startedAt;
    private final LinkedHashMap<Long, Customer> customers = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayList<Customer> waiting = new ArrayList<>();
    private final LinkedHashMap<Long, Job> jobs = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Server> servers = new LinkedHashMap<>();
    private final double[] usual;
    private final double[] unloaded;
    private final int[] answers;
    private double meanSize = 1;
    private double meanUnits = 1;
    private double retries = MOST_RETRIES;
    private final ArrayList<Server> cold = new ArrayList<>();
    private double fleetSize;
    private int held;
    private boolean looking;
    private int inFlight;
    private double bound;
    private double fleetPace = 1;
    private long boundCutAt;
    private double meanInFlight;
    private long notedAt;
    /** Mean square of what answers differ by from the usual latency, in usual latencies. */
    private double spread;
    private double sharers;
    /** Gives the ring its order; where on it the next send in turn looks from. */
    private final long ringSalt;
    private long ringAt;
    private double sendGap;
    private long lastSentAt;
    private double publishedAt;
    private boolean published;
    private double badShare;
    /** Of all requests, the share of each class, and their mean worth. */
    private final double[] asked;
    private double meanWorth;

    public GatewayDecider(Settings settings, long now, Actions actions) {
        this.settings = Gateway.requirePresent(settings, "settings");
        this.out = Gateway.requirePresent(actions, "actions");
        startedAt = now;
        random = new SplittableRandom(settings.seed());
        ringSalt = new SplittableRandom(~settings.seed()).nextLong();
        sharers = settings.gatewayCount();
        usual = new double[settings.classes().size()];
        unloaded = new double[settings.classes().size()];
        answers = new int[usual.length];
        asked = new double[usual.length];
        Arrays.fill(asked, 1.0 / usual.length);
        Arrays.fill(answers, CLASS_PRIOR);
        for (int i = 0; i < usual.length; i++) {
            usual[i] = settings.classes().get(i).targetLatencyNanos() / 5.0;
            unloaded[i] = usual[i];
        }
        if (settings.subscribesToBackends()) {
            out.subscribeBackends();
        }
    }

    // ---- A request arrives ------------------------------------------------------------------------------

    @Override
    public void onRequest(long now, Request request) {
        Gateway.requireInRange(request.requestClass() < usual.length, "Request.requestClass");
        Gateway.requireInRange(request.plan() < settings.plans().size(), "Request.plan");
        Job job = new Job();
        job.request = request;
        job.kind = settings.classes().get(request.requestClass());
        job.customer = customerOf(now, request);
        job.arrivedAt = now;
        job.leavesAt = now + request.timeoutNanos();
        retries = Math.min(MOST_RETRIES, retries + RETRY_EARNED);
        meanUnits += 0.01 * (request.units() - meanUnits);
        meanWorth = 0;
        for (int i = 0; i < asked.length; i++) {
            asked[i] += 0.01 * ((i == request.requestClass() ? 1 : 0) - asked[i]);
            meanWorth += asked[i] * settings.classes().get(i).value();
        }
        Customer customer = job.customer;
        // A client about to leave is answered at once: the next look at what waits would be too late.
        boolean leaving = request.timeoutNanos() < ANSWER_MARGIN;
        boolean late = leaving || !inTime(job);
        boolean allCold = allCold(now);
        boolean within = (allCold || !late) && withinQuota(customer, request);
        if (allCold && within) {
            ration(now);
        }
        if (late || !within || !withinCeiling(customer, request)) {
            // No word on when to come again: what waits for a store to refill comes too late for its aim.
            out.reject(request.id(), 0);
            return;
        }
        take(customer, request.units());
        jobs.put(request.id(), job);
        enqueue(job, false);
        pump(now);
        if (job.attempts == 0 && !job.ended && request.maxQueueNanos() < Long.MAX_VALUE) {
            out.startTimer(HOLD_OVER, request.maxQueueNanos());
        }
    }

    /** What waits ahead of it leaves time for its aim: in a jam, better told at once than held in vain. */
    private boolean inTime(Job job) {
        if (timeNeeded(job) / HOPE > timeGiven(job)) {
            return false;
        }
        if (held == 0) {
            return true;
        }
        int ahead = job.customer.waiting.size();
        for (int i = 0; i < waiting.size(); i++) {
            Customer other = waiting.get(i);
            boolean before = other != job.customer && other.counter <= job.customer.counter;
            ahead += before ? other.waiting.size() : 0;
        }
        // What would be given up at the end of its hold is better told at once.
        return ahead * sendGap <= job.request.maxQueueNanos()
                && ahead * sendGap + timeNeeded(job) <= timeGiven(job);
    }

    /** Until its aim or until its client leaves: what comes later is work for nobody. */
    private long timeGiven(Job job) {
        return Math.min(job.kind.targetLatencyNanos(), job.leavesAt - job.arrivedAt);
    }

    /** At most half the aim: a class once slow must still be sent, or it could not show that it is well. */
    private double timeNeeded(Job job) {
        return Math.min(HOPE * usual[job.request.requestClass()], job.kind.targetLatencyNanos() / 2.0);
    }

    private Customer customerOf(long now, Request request) {
        Customer customer = customers.get(request.customer());
        if (customer == null) {
            customer = new Customer();
            customer.id = request.customer();
            customer.plan = settings.plans().get(request.plan());
            customer.setSize = request.gatewaySubsetSize();
            customer.store = burst(customer.plan) / request.gatewaySubsetSize();
            customer.filledAt = now;
            customer.slice = sliceOf(now);
            Arrays.fill(customer.letThen, customer.let);
            // After a restart it is not known what was spent of the ceiling before: it starts from nothing.
            // For one first seen later, what has filled since this gateway's start is surely there.
            double filled = customer.plan.ceilingRatePerSecond() * (now - startedAt) / SECOND;
            customer.ceiling = Math.min(customer.plan.ceilingBurstUnits(),
                    customer.plan.ceilingOverdraftUnits() + filled) / customer.setSize;
            customers.put(request.customer(), customer);
        }
        customer.setSize = request.gatewaySubsetSize();
        customer.seen = 1 + customer.seen * Math.exp((customer.seenAt - now) / (double) FORGET_AFTER);
        customer.seenAt = now;
        refill(customer, now);
        forget(now);
        return customer;
    }

    /** A few looks an arrival, at those longest unseen: no sweep over all, and state stays bounded. */
    private void forget(long now) {
        for (int looks = 0; looks < FORGET_LOOKS; looks++) {
            Customer eldest = customers.values().iterator().next();
            if (now - eldest.seenAt <= FORGET_AFTER) {
                return;
            }
            refill(eldest, now);
            if (eldest.out == 0 && eldest.waiting.isEmpty() && eldest.let > LET_NEAR_ALL
                    && eldest.store >= burst(eldest.plan) / eldest.setSize) {
                customers.remove(eldest.id);
            } else {
                customers.get(eldest.id); // goes behind the others, or none of them would be forgotten
            }
        }
    }

    /** Customers remembered. */
    int customers() {
        return customers.size();
    }

    /** The customer's store holds it, or it pays though beyond the quota and the fleet has room. */
    private boolean withinQuota(Customer customer, Request request) {
        Plan plan = customer.plan;
        if (plan.ratePerSecond() <= 0 && plan.maxConcurrency() > 0) {
            boolean even = customer.setSize <= FEW_GATEWAYS;
            double let = even ? 1 : Math.min(customer.let, capShare(customer, request));
            return soonOpen(customer, request) && letIn(let, request);
        }
        if (rate(plan) <= 0 || customer.store >= request.units()) {
            return true;
        }
        // Overdrawn once, with chance a: a chance at each repeat would let heavy customers in after all. Of
        // 14 gateways each saw one request of a usual customer in 15 s, and refused the next for having let
        // in that one. Of what may be overdrawn room for one is left: it comes back at the part's rate.
        double few = Math.min(1, FEW_GATEWAYS / customer.setSize);
        double most = mostOverdrawn(customer);
        double chance = few >= 1 || worth(request) < meanWorth ? 0
                : Math.max(CHANCE * (1 - few) * most, most - meanUnits);
        if (customer.store >= -chance && letIn(customer.let, request)) {
            return true;
        }
        return plan.overQuotaValue() > plan.overQuotaCost() && held == 0 && fleetPace < 1;
    }

    /** A concurrency cap has no token bucket: a request over the cap is queued and admitted only if a slot of
     * this gateway is expected to come free in time for its target latency. */
    private boolean soonOpen(Customer customer, Request request) {
        int part = partOfCap(customer, request);
        double need = usual[request.requestClass()];
        int ahead = Math.max(0, customer.out + customer.waiting.size() + 1 - part);
        long aim = settings.classes().get(request.requestClass()).targetLatencyNanos();
        return (double) ahead / part * need + HOPE * need <= Math.min(aim, request.timeoutNanos());
    }

    /**
     * The let-in share of a cap that its customer's own requests tell: many gateways with a slot each hold no
     * cap together, and the meter's word reaches each of them only with an answer, after seconds. What comes
     * here, by chance one of the set, tells at once how much the customer asks of all: the mean out, of which
     * nothing is known but a part of the cap as its mean (exponential; then the posterior of Poisson counts).
     */
    private double capShare(Customer customer, Request request) {
        double most = customer.plan.maxConcurrency();
        double heard = FORGET_AFTER * (1 - Math.exp((startedAt - customer.seenAt) / (double) FORGET_AFTER));
        double latency = usual[request.requestClass()];
        double mean = customer.seen / (1 / (CAP_ASKED * most) + heard / (customer.setSize * latency));
        return Math.min(1, CAP_FILLED * most / mean);
    }

    /** Slots of a cap that this gateway may use: its even part, at least 1. One of many gateways gets one
     * more for a request of more than mean value while the meter shows room: arrivals are uneven, and the other
     * gateways' slots are mostly free. */
    private int partOfCap(Customer customer, Request request) {
        int part = Math.max(1, customer.plan.maxConcurrency() / customer.setSize);
        boolean room = customer.lastReading >= 0 && customer.let > LET_NEAR_ALL;
        return customer.setSize > FEW_GATEWAYS && room && worth(request) >= meanWorth ? part + 1 : part;
    }

    /** The ceiling is kept by each gateway on its own: an even share of its store and of its rate. */
    private boolean withinCeiling(Customer customer, Request request) {
        return customer.plan.ceilingRatePerSecond() <= 0
                || customer.ceiling - customer.reserved >= request.units();
    }

    private void take(Customer customer, double units) {
        draw(customer, units);
        customer.reserved += units;
    }

    /** What was let in but never sent on is given back: a quota counts what is first sent on. */
    private void giveBack(Job job) {
        Customer customer = job.customer;
        draw(customer, -job.request.units());
        customer.reserved -= job.request.units();
    }

    /** Refunds a sent request if no attempt can have reached a backend whole: only then were units consumed.
     * Refunds the fair-queueing counter too, or a dead backend would cost the customer its turn. */
    private void giveBackUnsent(Job job, long now) {
        if (job.attempts == 0 || job.mayHaveCome) {
            return;
        }
        Customer customer = job.customer;
        double units = job.request.units();
        refill(customer, now);
        draw(customer, -units);
        double most = customer.plan.ceilingBurstUnits() / customer.setSize;
        customer.ceiling = Math.min(most, customer.ceiling + units);
        customer.counter -= job.charged;
    }

    /** Admits this share of all requests, rejecting the least valuable first. The original design admitted
     * all with the same probability; at 14 gateways the change gained a tenth of the total value. */
    private boolean letIn(double let, Request request) {
        if (let >= 1) {
            return true;
        }
        double worth = worth(request);
        double dearer = 0;
        double same = 0;
        for (int i = 0; i < asked.length; i++) {
            dearer += settings.classes().get(i).value() > worth ? asked[i] : 0;
            same += settings.classes().get(i).value() == worth ? asked[i] : 0;
        }
        return random.nextDouble() < (let - dearer) / Math.max(same, 1e-9);
    }

    private double worth(Request request) {
        return settings.classes().get(request.requestClass()).value();
    }

    private double mostOverdrawn(Customer customer) {
        return Math.max(LEAST_OVERDRAWN, MOST_OVERDRAWN / customer.setSize) * meanUnits;
    }

    private void draw(Customer customer, double units) {
        customer.store = Math.max(-mostOverdrawn(customer),
                Math.min(burst(customer.plan) / customer.setSize, customer.store - units));
    }

    /** The plan's rate; for a cap on attempts out, the rate that keeps it out while no backend is slow. */
    private double rate(Plan plan) {
        return plan.ratePerSecond() > 0 ? plan.ratePerSecond()
                : plan.maxConcurrency() * meanUnits * SECOND / meanUnloaded();
    }

    /** ns that an attempt takes while no backend is slow, over the classes as they are asked. */
    private double meanUnloaded() {
        double mean = 0;
        for (int i = 0; i < asked.length; i++) {
            mean += asked[i] * unloaded[i];
        }
        return mean;
    }

    private double burst(Plan plan) {
        return plan.ratePerSecond() > 0 ? plan.burstUnits() : plan.maxConcurrency() * meanUnits;
    }

    private void refill(Customer customer, long now) {
        double seconds = (now - customer.filledAt) / (double) SECOND;
        customer.filledAt = now;
        Plan plan = customer.plan;
        if (rate(plan) > 0) {
            draw(customer, -rate(plan) / customer.setSize * seconds);
        }
        double gap = customer.setSize * meanUnits * SECOND / Math.max(rate(plan), 1e-9);
        customer.let += (1 - customer.let) * (1 - Math.exp(-seconds * SECOND / Math.max(LET_BACK, gap)));
        customer.ceiling = Math.min(plan.ceilingBurstUnits() / customer.setSize,
                customer.ceiling + plan.ceilingRatePerSecond() / customer.setSize * seconds);
        long slice = sliceOf(now);
        for (long s = Math.max(customer.slice + 1, slice - RING + 1); s <= slice; s++) {
            customer.letThen[index(s)] = customer.let;
        }
        customer.slice = slice;
    }

    // ---- It waits ---------------------------------------------------------------------------------------

    private void enqueue(Job job, boolean first) {
        Customer customer = job.customer;
        if (customer.waiting.isEmpty()) {
            double least = Double.MAX_VALUE;
            for (int i = 0; i < waiting.size(); i++) {
                least = Math.min(least, waiting.get(i).counter);
            }
            if (least < Double.MAX_VALUE) {
                customer.counter = Math.max(customer.counter, least);
            }
            waiting.add(customer);
        }
        if (first) {
            customer.waiting.addFirst(job);
        } else {
            customer.waiting.addLast(job);
        }
        held++;
    }

    private void unqueue(Job job) {
        if (job.customer.waiting.remove(job)) {
            held--;
            if (job.customer.waiting.isEmpty()) {
                waiting.remove(job.customer);
            }
        }
    }

    /** While a slot is free, the oldest request of the waiting customer with the lowest counter goes. */
    private void pump(long now) {
        while (!waiting.isEmpty()) {
            Customer next = null;
            for (int i = 0; i < waiting.size(); i++) {
                Customer customer = waiting.get(i);
                if (mayOpen(customer) && (next == null || customer.counter < next.counter)) {
                    next = customer;
                }
            }
            if (next == null) {
                break;
            }
            Job job = next.waiting.peekFirst();
            if (hopeless(job, now)) {
                unqueue(job);
                finish(job, now);
                continue;
            }
            Server server = choose(job, now);
            if (server == null) {
                break;
            }
            unqueue(job);
            send(job, server, now);
        }
        look();
    }

    /** A cap on attempts out: this gateway's even part, one at least; what is over it is held. */
    private boolean mayOpen(Customer customer) {
        return customer.plan.maxConcurrency() <= 0
                || customer.out < partOfCap(customer, customer.waiting.peekFirst().request);
    }

    /** Too late to be of worth: its slot does more for another. */
    private boolean hopeless(Job job, long now) {
        boolean worthLate = job.kind.lateValueShare() > 0 && held <= 1
                && now + timeNeeded(job) <= job.leavesAt;
        return now + timeNeeded(job) > job.arrivedAt + timeGiven(job) && !worthLate;
    }

    /** The final answer for a request with no attempt out: a refusal where trying again is harmless. */
    private void finish(Job job, long now) {
        if (job.attempts == 0) {
            giveBack(job);
        }
        giveBackUnsent(job, now);
        job.ended = true;
        if (job.at == null) {
            jobs.remove(job.request.id());
        }
        boolean harmless = !job.mayHaveRun && job.at == null
                || job.kind.idempotency() == Idempotency.IDEMPOTENT
                || job.kind.idempotency() == Idempotency.KEYED && job.kind.dedupScope() == DedupScope.ALL;
        if (harmless) {
            out.reject(job.request.id(), 0);
        } else {
            out.fail(job.request.id());
        }
    }

    // ---- It is sent -------------------------------------------------------------------------------------

    private Server choose(Job job, long now) {
        if (inFlight + 1 > mostInFlight()) {
            int silent = 0;
            for (Server server : servers.values()) {
                silent += silent(server, now);
            }
            if (inFlight - silent + 1 > mostInFlight()) {
                return null;
            }
        }
        Server best = null;
        Server bestSound = null;
        double bestCost = Double.MAX_VALUE;
        double bestSoundCost = Double.MAX_VALUE;
        int ready = 0;
        int blocked = 0;
        int ties = 1;
        for (Server server : servers.values()) {
            server.cost = Double.MAX_VALUE;
            if (!server.ready) {
                continue;
            }
            ready++;
            boolean sound = now >= server.blockedUntil && !server.onTrial;
            blocked += sound ? 0 : 1;
            if (server.out - silent(server, now) >= Math.max(1, server.limit * warmth(server, now))
                    || !keepsKey(job, server) || warmth(server, now) < 1 && server.coldCredit < 1) {
                continue;
            }
            double cost = cost(server, now);
            if (cost < bestCost || cost == bestCost && random.nextInt(++ties) == 0) {
                ties = cost < bestCost ? 1 : ties;
                best = server;
                bestCost = cost;
            }
            boolean free = now >= server.blockedUntil && server.out == 0;
            boolean usable = sound || free && mayTry(job, server, now);
            server.cost = usable ? cost : Double.MAX_VALUE;
            if (usable && (cost < bestSoundCost || server == best)) {
                bestSound = server;
                bestSoundCost = cost;
            }
        }
        return bestSound == null ? blocked > MOST_BLOCKED * ready ? best : null : inTurn(bestSound);
    }

    /**
     * The bound; while less than this gateway's part of the least is out on the mean, chance is allowed for.
     * At one slot a backend and 0.6 of the capacity used, answers take twice their unloaded time and cut the
     * bound down to the mean out from here: one in thirteen was turned away, none for want of capacity. In
     * overload the mean is reached, and the bound alone decides.
     */
    private double mostInFlight() {
        double part = LEAST_EACH * fleetSize / sharers;
        double chance = meanInFlight < part ? part + CHANCE_DEVIATIONS * Math.sqrt(part) : LEAST_BOUND;
        return Math.max(Math.max(LEAST_BOUND, bound), chance);
    }

    /** Mean of what is out from here over the last seconds. */
    private void note(long now) {
        meanInFlight = inFlight + (meanInFlight - inFlight) * Math.exp((notedAt - now) / PACE_FORGET);
        notedAt = now;
    }

    /**
     * Of those that cost as little as the best, but for chance, the next on the ring: where this gateway has
     * a set of its own among many. One quick answer makes a favourite for seconds, and of few gateways that
     * use a backend one more or less that favours it shows: some got half as much again as others.
     */
    private Server inTurn(Server best) {
        if (sharers >= settings.gatewayCount()) {
            return best;
        }
        double noise = Math.sqrt(spread * PACE_WEIGHT / (2 - PACE_WEIGHT));
        double most = best.cost * (1 + NOISE_DEVIATIONS * noise);
        Server next = best;
        for (Server server : servers.values()) {
            if (server.cost <= most && Long.compareUnsigned(server.place - ringAt, next.place - ringAt) < 0) {
                next = server;
            }
        }
        ringAt = next.place + 1;
        return next;
    }

    /** Its trial at one that answers badly may cost a request: one that can be repeated. */
    private boolean mayTry(Job job, Server server, long now) {
        boolean repeatable = job.kind.idempotency() != Idempotency.NOT_IDEMPOTENT;
        return !server.unwell || repeatable || now >= server.blockedUntil + UNSAFE_TRIAL;
    }

    /** Relative expected completion time: pace times (1 + load per weight). A large idle backend costs no
     * less than a small one, or many gateways with nothing in flight would all send to the largest. */
    private double cost(Server server, long now) {
        double cost = pace(server, now) * (1 + (server.out + 0.5 * server.waiting) / sizeOf(server));
        boolean crosses = settings.crossZoneCost() > 0 && server.entry.zone() != settings.zone();
        return crosses ? cost * (1 + CROSS_EXTRA) : cost;
    }

    /**
     * Attempts out there for so long that they say nothing more of what fits: one that never ends would hold
     * all of a small bound, or its backend's one place, until its client leaves, and no request would go
     * anywhere. It guards as well against a cut of the network, whose attempts all stay out. Harm: a backend
     * that is only slow gets that many more, where its pace still makes it the best.
     */
    private int silent(Server server, long now) {
        if (server.out == 0 || !silent(server.jobs.peekFirst(), now)) {
            return 0;
        }
        int silent = 0;
        for (Job job : server.jobs) {
            if (!silent(job, now)) {
                break;
            }
            silent++;
        }
        return silent;
    }

    private boolean silent(Job job, long now) {
        return now - job.sentAt >= SILENT * usual[job.request.requestClass()];
    }

    private double pace(Server server, long now) {
        double pace = server.pace;
        if (pace != 1) {
            pace = 1 + (pace - 1) * Math.exp((server.pacedAt - now) / PACE_FORGET);
        }
        if (server.out > 0) {
            Job oldest = server.jobs.peekFirst();
            double age = (now - oldest.sentAt) / usual[oldest.request.requestClass()];
            if (age > STALL_AGE) {
                pace = Math.max(pace, age / 2);
            }
        }
        return Math.max(0.2, pace);
    }

    private double sizeOf(Server server) {
        return (server.entry.weight() > 0 ? server.entry.weight() : 1) / meanSize;
    }

    private boolean keepsKey(Job job, Server server) {
        if (!job.mayHaveRun || job.kind.idempotency() != Idempotency.KEYED
                || job.kind.dedupScope() == DedupScope.ALL) {
            return true;
        }
        return job.kind.dedupScope() == DedupScope.ZONE ? server.entry.zone() == job.ranAt.entry.zone()
                : server.entry.cell() == job.ranAt.entry.cell();
    }

    private void send(Job job, Server server, long now) {
        Customer customer = job.customer;
        if (job.attempts == 0) {
            job.charged = charge(customer, job.request.units());
            customer.counter += job.charged;
            // The ceiling is drawn when first sent: a hold must not let its store fill up behind the promise.
            refill(customer, now);
            customer.ceiling -= job.request.units();
            customer.reserved -= job.request.units();
        } else {
            retries -= 1;
        }
        if (held > 0) {
            sendGap += GAP_WEIGHT * (now - lastSentAt - sendGap);
        }
        lastSentAt = now;
        job.attempts++;
        job.at = server;
        job.sentAt = now;
        note(now);
        server.out++;
        inFlight++;
        customer.out++;
        server.jobs.addLast(job);
        server.coldCredit -= 1;
        if (job.attempts == 1 && !allCold(now)) {
            ration(now);
        }
        out.send(job.request.id(), server.entry.id(), timeout(job));
    }

    /**
     * Mostly none short of the client's: what is cut short runs on at the backend, and its repeat adds load
     * just when all are slow. A backend that hangs is told by its oldest attempt. But one that stays silent
     * shall not keep a slot of a cap from those who wait for it long after its answer is of worth.
     */
    private long timeout(Job job) {
        double least = STALLED * usual[job.request.requestClass()];
        return job.customer.plan.maxConcurrency() <= 0 ? 0
                : (long) Math.max(job.kind.targetLatencyNanos() * SLOT_AIM, least);
    }

    /** The quadratic charge: units, and units once more for each typical request's worth of them. */
    private double charge(Customer customer, double units) {
        return (units + units * units / meanUnits) / weight(customer.plan);
    }

    /** A customer's weight is the worth of what its plan sells: price times rate, or what its cap allows. */
    private double weight(Plan plan) {
        double rate = rate(plan);
        return rate * plan.price() <= 0 ? 1 : rate * plan.price();
    }

    // ---- It is answered ---------------------------------------------------------------------------------

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {
        Job job = jobs.get(answer.requestId());
        Server server = servers.get(answer.backendId());
        if (answer.quotaUsedPercent() >= 0 && job != null) {
            refill(job.customer, now);
            read(job.customer, answer.quotaUsedPercent(), now);
        }
        if (server != null && answer.load() != null) {
            server.waiting = Double.isNaN(answer.load().queuedRequests()) ? 0
                    : answer.load().queuedRequests();
            server.busy = Double.isNaN(answer.load().cpuUtilization()) ? 0 : answer.load().cpuUtilization();
        }
        if (job == null || job.at == null) {
            return;
        }
        server = job.at;
        server.out--;
        server.jobs.remove(job);
        job.customer.out--;
        job.at = null;
        note(now);
        inFlight--;
        judge(server, job, answer, now);
        job.mayHaveCome |= answer.outcome().mayHaveRun || answer.outcome() == Outcome.FULL;
        if (answer.outcome().mayHaveRun && !job.mayHaveRun) {
            job.mayHaveRun = true;
            job.firstMaybeRunAt = job.sentAt;
            job.ranAt = server;
        }
        if (answer.actualUnits() > 0) {
            settle(job, answer.actualUnits());
        }
        if (answer.requestEnded() || job.ended) {
            job.ended = true;
            jobs.remove(answer.requestId());
            giveBackUnsent(job, now);
        } else if (mayTryAgain(job, now)) {
            enqueue(job, true);
        } else {
            finish(job, now);
        }
        pump(now);
    }

    private void settle(Job job, double units) {
        Customer customer = job.customer;
        double more = units - job.request.units();
        customer.counter += charge(customer, units) - charge(customer, job.request.units());
        if (customer.plan.ratePerSecond() > 0) {
            draw(customer, more);
        }
    }

    private boolean mayTryAgain(Job job, long now) {
        if (job.attempts >= settings.maxAttempts() || retries < 1 || now + ANSWER_MARGIN >= job.leavesAt) {
            return false;
        }
        return !job.mayHaveRun || job.kind.idempotency() == Idempotency.IDEMPOTENT
                || job.kind.idempotency() == Idempotency.KEYED && insideWindow(job, now);
    }

    private boolean insideWindow(Job job, long now) {
        return now + WINDOW_MARGIN < job.firstMaybeRunAt + job.kind.dedupWindowNanos();
    }

    /** What an outcome says of its backend. */
    private void judge(Server server, Job job, AttemptReport answer, long now) {
        Outcome outcome = answer.outcome();
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            // One connection may break; a process that died refuses connections or breaks all of them.
            server.unreached |= outcome == Outcome.CONNECT_FAILED;
            server.broken = now - server.brokeAt > BROKEN_SPAN ? 1 : server.broken + 1;
            server.brokeAt = now;
            if ((server.unreached || server.broken >= DEAD_AFTER) && now >= server.blockedUntil) {
                server.dead |= server.onTrial && outcome == Outcome.CONNECT_FAILED;
                block(server, now);
            }
            return;
        }
        if (outcome == Outcome.FULL) {
            server.limit = Math.max(leastLimit(), server.limit * LIMIT_CUT);
        }
        if (outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            doubt(server, outcome, now);
            return;
        }
        if (outcome != Outcome.OK && outcome != Outcome.TIMED_OUT) {
            return;
        }
        if (outcome == Outcome.OK) {
            if (server.dead) {
                // Back from the dead: a restarted process is cold, though the list may tell it later. One
                // that refused once and takes its trial was no dead one: a full table, a reset on the way or
                // a slow handshake look the same, and to ration healthy backends for a ramp starves all.
                // Harm: one back within its first block gets its full part until the list tells.
                turnedCold(server, now);
            }
            server.dead = false;
            server.unreached = false;
            server.broken = 0;
            trust(server);
        }
        int kind = job.request.requestClass();
        double took = answer.durationNanos();
        if (outcome == Outcome.TIMED_OUT) {
            // How long one was waited for that never came tells when it was given up: of its backend alone it
            // says something. A few of them would cut the bound on all, and drive the usual latency to many
            // times what it is, and with it the time that requests are thought to need: those of capped plans
            // were all refused for seconds, with no slot in use. It guards as well against requests that
            // hang wherever they go. Harm: were all to slow down past every deadline, only the paces tell.
            server.pace = Math.max(pace(server, now), Math.min(20, took / usual[kind] / 2));
            server.pacedAt = now;
            return;
        }
        // The bound on all in flight from here: each backend alone tells a gateway among many too little.
        double full = Math.max(BOUND_PACE * unloaded[kind], BOUND_AIM * job.kind.targetLatencyNanos());
        double stretch = took / full / Math.max(1, pace(server, now));
        fleetPace += FLEET_WEIGHT * (Math.min(MOST_STRETCH, stretch) - fleetPace);
        if (fleetPace > 1) {
            if (now > boundCutAt + took) {
                bound = Math.max(LEAST_BOUND, Math.min(bound, inFlight + 1) * LIMIT_CUT);
                boundCutAt = now;
            }
        } else if (inFlight + 2 > bound || inFlight + 1 >= LIMIT_CUT * bound) {
            // In use when one more would not have fitted: between 1.25 and 2 it would else never grow again.
            double more = Math.max(1, fleetSize / sharers);
            bound = Math.min(MOST_LIMIT * fleetSize, bound + more / Math.max(1, bound));
        }
        double ratio = Math.min(20, took / usual[kind]);
        double off = Math.min(MOST_STRETCH, ratio) - 1;
        spread += Math.max(CLASS_WEIGHT, 1.0 / (answers[kind] + 1)) * (off * off - spread);
        server.pace = pace(server, now);
        server.pace += PACE_WEIGHT * (ratio - server.pace);
        server.pacedAt = now;
        usual[kind] += Math.max(CLASS_WEIGHT, 1.0 / ++answers[kind]) * (took - usual[kind]);
        unloaded[kind] = Math.min(unloaded[kind] * (1 + 0.0001), usual[kind]);
        double slow = server.pace * usual[kind];
        if (slow > Math.max(FULL_PACE * unloaded[kind], AIM_SHARE * job.kind.targetLatencyNanos())) {
            if (now > server.cutAt + slow) {
                server.limit = Math.max(leastLimit(), Math.min(server.limit, server.out + 1) * LIMIT_CUT);
                server.cutAt = now;
            }
        } else if (server.out + 1 >= 0.8 * server.limit) {
            server.limit = Math.min(MOST_LIMIT, server.limit + Math.min(server.limit, 1 / server.limit));
        }
    }

    /** What answers badly costs each gateway a request at each trial: of many, each tries more rarely. */
    private void block(Server server, long now) {
        double many = server.doubt < UNWELL ? 1 : Math.max(1, sharers / FEW_GATEWAYS);
        double block = Math.max(FIRST_BLOCK * many, 2 * server.block);
        server.block = (long) Math.min(MOST_BLOCK * many, block);
        server.blockedUntil = now + server.block;
        server.onTrial = true;
    }

    /**
     * A backend that answers badly and at once looks like the fastest and idlest of all, and one that drains
     * turns all away long before the list tells: both drew a third of all attempts, each gateway finding out
     * alone. Each bad answer adds the log of how much likelier it is from an unwell backend than from the
     * others (Page's cumulative sum), each good one takes off as much; where all answer badly now and then,
     * one says little. Harm: while that is not known yet, some sound backends are left alone for half a
     * second.
     */
    private void doubt(Server server, Outcome outcome, long now) {
        server.badAnswers++;
        server.doubt += Math.max(0, Math.log(BAD_RATE / Math.max(LEAST_BAD, badShare)));
        if (server.doubt < UNWELL) {
            return;
        }
        server.doubt = Math.min(MOST_DOUBT, server.doubt);
        server.unwell = outcome == Outcome.ERROR;
        if (now >= server.blockedUntil) {
            block(server, now);
        }
    }

    /** A good answer: it is well when those outweigh the bad ones, and these then were such as all give. */
    private void trust(Server server) {
        server.doubt += Math.log((1 - BAD_RATE) / (1 - Math.min(BAD_RATE, badShare)));
        badShare -= BAD_WEIGHT * badShare;
        if (server.doubt <= 0) {
            badShare = Math.min(1, badShare + BAD_WEIGHT * server.badAnswers);
            server.badAnswers = 0;
            server.doubt = 0;
            server.unwell = false;
            server.onTrial = false;
            server.block = 0;
        }
    }

    // ---- The meter --------------------------------------------------------------------------------------

    private long sliceOf(long now) {
        return settings.meteringPeriodNanos() > 0 ? now / Math.max(1, settings.meteringPeriodNanos() / SLICES)
                : 0;
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, (long) RING);
    }

    /** Takes in a reading if it is a new period's: many answers repeat one, and none names its period. */
    private void read(Customer customer, int percent, long now) {
        double period = settings.meteringPeriodNanos();
        if (period <= 0) {
            return;
        }
        boolean changed = percent != customer.lastReading;
        if (changed && customer.lastReading >= 0 && now - customer.lastReadingAt < period / SLICES) {
            // A change seen between two close answers shows when the meter publishes.
            double off = published ? Math.IEEEremainder(now - publishedAt, period) : 0;
            publishedAt = published ? publishedAt + 0.1 * off : now;
            published = true;
        }
        long epoch = (long) Math.floor((now - publishedAt) / period);
        if (changed && epoch <= customer.lastEpoch) {
            epoch = customer.lastEpoch + 1;
        }
        customer.lastReadingAt = now;
        customer.lastReading = percent;
        if (epoch <= customer.lastEpoch) {
            return;
        }
        customer.lastEpoch = epoch;
        long end = sliceOf((long) (publishedAt + epoch * period - USUAL_LAG * period));
        double let = 0;
        for (long s = end - SLICES; s < end; s++) {
            let += customer.letThen[index(s)] / SLICES;
        }
        double used = percent / 100.0;
        if (customer.plan.ratePerSecond() <= 0) {
            // Of a cap it tells the most out at once in a period, which is above the mean by chance.
            customer.let = Math.min(1, let * CAP_IN_USE / Math.max(CAP_IN_USE / 2, used));
            return;
        }
        double noise = READING_NOISE * meanUnits;
        double due = rate(customer.plan) * period / SECOND;
        customer.let = Math.min(1, let * (noise + due) / (noise + due * used));
        draw(customer, -GAIN * due * (1 - used));
    }

    // ---- The list, cold backends, health ----------------------------------------------------------------

    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {
        if (whole) {
            for (Server server : servers.values()) {
                server.ready = false;
            }
        }
        for (Backend entry : entries) {
            Server server = servers.computeIfAbsent(entry.id(), this::placed);
            boolean restarted = server.entry == null
                    || server.entry.startedAtNanos() != entry.startedAtNanos();
            server.entry = entry;
            server.ready = entry.state() == DiscoveryState.READY;
            if (server.limit == 0 || restarted) {
                server.limit = Math.max(leastLimit(), FIRST_LIMIT / sharers);
            }
            if (restarted && entry.startedAtNanos() > 0) {
                turnedCold(server, entry.startedAtNanos());
                server.blockedUntil = 0;
                server.doubt = 0;
                server.unwell = false;
                server.pace = 1;
            }
        }
        double sum = 0;
        int n = 0;
        for (Iterator<Server> it = servers.values().iterator(); it.hasNext();) {
            Server server = it.next();
            if (server.ready) {
                sum += server.entry.weight() > 0 ? server.entry.weight() : 1;
                n++;
            } else if (server.out == 0) {
                it.remove();
            }
        }
        meanSize = n == 0 ? 1 : sum / n;
        if (fleetSize == 0) {
            bound = FIRST_LIMIT * n / sharers;
        }
        fleetSize = n;
        pump(now);
    }

    /** The ring's order is that of a hash: no two gateways go the same way. */
    private Server placed(long id) {
        Server server = new Server();
        server.place = Aperture.mixed(id ^ ringSalt);
        return server;
    }

    @Override
    public void onGatewaysPerBackend(long now, double gateways) {
        Gateway.requireInRange(gateways >= 1, "onGatewaysPerBackend");
        sharers = gateways;
    }

    private double leastLimit() {
        return Math.min(1, LEAST_TOGETHER / sharers);
    }

    @Override
    public void onDiscoveryFailure(long now) {
        if (settings.subscribesToBackends()) {
            out.subscribeBackends();
        }
    }

    /** The share of its capacity that a backend surely has: it rises no slower than evenly. */
    private double warmth(Server server, long now) {
        if (server.coldSince == Long.MIN_VALUE || now - server.coldSince >= settings.slowStartNanos()) {
            return 1;
        }
        double age = Math.max(0, now - server.coldSince) / (double) settings.slowStartNanos();
        return settings.coldCapacityShare() + (1 - settings.coldCapacityShare()) * age;
    }

    private void turnedCold(Server server, long since) {
        server.coldSince = Math.max(server.coldSince, since);
        // A seeded phase: what all gateways send it together is even from the first, with no send each.
        server.coldCredit = random.nextDouble();
        if (!cold.contains(server)) {
            cold.add(server);
        }
    }

    /** No backend that the list names is warm. */
    private boolean allCold(long now) {
        int ready = 0;
        for (int i = 0; i < cold.size(); i++) {
            ready += cold.get(i).ready && warmth(cold.get(i), now) < 1 ? 1 : 0;
        }
        return ready > 0 && ready >= fleetSize;
    }

    /**
     * Each request first sent anywhere earns every cold backend a part of a send: its part of the fleet's
     * capacity, times half the overload multiple. What all gateways together send it so follows what they
     * send a warm one, however many they are; one that sends little mostly sends it nothing. Further attempts
     * earn nothing, or the loss of others would. Where all are cold, each request within its quota earns it,
     * sent or not, or none would ever be sent. What is not used within the overload span lapses: each of many
     * gateways would else hold some, and all of it would go at once when others are lost.
     */
    private void ration(long now) {
        double capacity = fleetSize;
        for (int i = cold.size() - 1; i >= 0; i--) {
            if (warmth(cold.get(i), now) >= 1) {
                cold.remove(i);
            } else if (cold.get(i).ready) {
                capacity -= (1 - warmth(cold.get(i), now)) * sizeOf(cold.get(i));
            }
        }
        capacity = Math.max(capacity, (allCold(now) ? LEAST_WARM_ALL_COLD : LEAST_WARM) * fleetSize);
        double multiple = COLD_PART * settings.overloadFactor();
        for (int i = 0; i < cold.size(); i++) {
            Server server = cold.get(i);
            double credit = server.coldCredit;
            if (credit >= 1 && now > server.coldCreditUntil) {
                credit -= 1;
                server.coldCreditUntil = now + settings.overloadNanos();
            }
            double part = warmth(server, now) * sizeOf(server) / capacity;
            server.coldCredit = Math.min(COLD_SAVED, credit + multiple * part);
            if (credit < 1 && server.coldCredit >= 1) {
                server.coldCreditUntil = now + settings.overloadNanos();
            }
        }
    }

    // ---- The clock --------------------------------------------------------------------------------------

    @Override
    public void onTimer(long now, int token) {
        looking &= token != LOOK;
        ArrayList<Job> due = new ArrayList<>(0);
        for (int i = 0; i < waiting.size(); i++) {
            for (Job job : waiting.get(i).waiting) {
                if (now + ANSWER_MARGIN >= job.leavesAt || hopeless(job, now)
                        || job.attempts == 0 && now - job.arrivedAt >= job.request.maxQueueNanos()
                        || job.mayHaveRun && job.kind.idempotency() == Idempotency.KEYED
                                && !insideWindow(job, now)) {
                    due.add(job);
                }
            }
        }
        for (Job job : due) {
            unqueue(job);
            finish(job, now);
        }
        pump(now);
    }

    /** The clock is asked for only while something waits: what is out is ended by its answer. */
    private void look() {
        if (held > 0 && !looking) {
            looking = true;
            out.startTimer(LOOK, LOOK_EVERY);
        }
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
        Job job = jobs.get(requestId);
        if (job == null) {
            return;
        }
        job.ended = true;
        if (job.at == null) {
            unqueue(job);
            jobs.remove(requestId);
            if (job.attempts == 0) {
                giveBack(job);
            }
            giveBackUnsent(job, now);
        }
    }
}
