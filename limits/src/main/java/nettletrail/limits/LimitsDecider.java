package nettletrail.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one front door may let in under ceilings that it shares with others through a counter. No I/O and no clock: it is
 * told what happens and when (ns of a monotonic clock), and asks for calls. One thread.
 *
 * <p><b>The ceiling.</b> For a customer whose plan has rate R and burst B, all front doors together let in at most
 * B + R t units in any time t. The counter keeps the store (a token bucket) and leases units of it ahead of need; a leased
 * unit is out of the store. Beside the units it gives each front door a share f of the ceiling; the shares that front doors
 * believe sum up to 1 at most, whichever answers were lost, because a share is only given once nobody else can believe it.
 *
 * <p><b>States</b> of a customer at a front door:
 * <pre>
 * state     may let in                                         until
 * FLOOR     a store of its own of F/n of R and B (n: the set)   an answer: LEASED
 * LEASED    what is leased and not spent                        the lease's end: GAP
 * GAP       nothing                                             the counter surely takes it for silent: SHARE; an answer: LEASED
 * SHARE     a store of its own of f of R and B, from empty      an answer: LEASED; its time is over: FLOOR, from empty
 * </pre>
 * A lease counts from when its call was sent and a share from when the counter can have heard of it last, so that neither
 * needs clocks to agree, only to run alike. While a front door is silent the counter withholds its share from the others,
 * so that what it lets in is safe whatever they do.
 *
 * <p><b>What others see.</b> What it spent is told as a sum since its start, so that a call heard twice adds nothing. An
 * epoch names the counter's memory: a fresh counter has another one and starts from nothing, and one that went back in time
 * (or is the other of two halves) is found out by an answer that it doesn't know of.
 *
 * <p>The meter is the second witness: where it tells more than ceiling and burst allow, units are let in that this
 * counter doesn't count, and the customer goes by its share until the meter is back.
 */
public final class LimitsDecider {
    static final double MILLI = 1_000;
    static final int ALL = 1_000_000;
    private static final long MS = 1_000_000L;
    private static final double SECOND = 1e9;
    /** So long ago that a difference to it is still a number. */
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Weight of time in the demand: it forgets with this time constant, ns. */
    private static final double DEMAND_SPAN = 1e9;
    /** Part of the lease's time that a lease should cover at the demand seen. */
    private static final double AHEAD = 0.25;
    /** Called again below this part of what was wanted, and after this part of the lease's time. */
    private static final double LOW = 0.5;
    /** ns between two calls for one customer, at least; several times that if little was to be had. */
    private static final long LEAST_GAP = 20 * MS;
    private static final int SCARCE_GAPS = 10;
    /** Largest requests that it holds units for beside its demand. */
    private static final double SPARE = 2;
    /** Bursts that the meter may tell beyond the rate before it is believed over the counter. */
    private static final double EXCESS_SLACK = 1.1;
    /** Words in a lease's time that this front door is there. */
    private static final int BEATS = 3;
    /** Customers in one call, at most: the script runs as one, and others wait for it. */
    static final int MOST_ROWS = 32;
    /** This part of the lease's time is waited for more customers, if none is urgent. */
    private static final int GATHERED = 20;
    /** Accounts looked at in one tick, at most. */
    private static final int MOST_LOOKS = 256;

    /** A ceiling: units a second and at once, for each customer. */
    public record Ceiling(double ratePerS, double burst) {
        public Ceiling {
            if (!(ratePerS > 0 && burst > 0)) {
                throw new IllegalArgumentException("Ceiling: rate and burst must be above 0");
            }
        }
    }

    /**
     * Times and bounds.
     *
     * @param door this front door's name, then a slash and a text that no process of this name had before: a new process
     *     knows nothing of what the one before it spent
     * @param leaseNs for how long a lease is good
     * @param lossNs for how long after its last lease a front door without the counter goes by its share
     * @param idleNs after so long without a request a customer's lease is given back
     * @param guardNs by how much later than it was sent a call may still reach the counter
     * @param floor share that all front doors of a set have together unheard, 0 to 1
     * @param fleet front doors in all
     * @param mostOut calls out at once, at most
     * @param mostPerS calls a second, at most
     * @param mostAccounts customers remembered, at most; further ones have no allowance here
     */
    public record Terms(String door, long leaseNs, long lossNs, long idleNs, long guardNs, double floor, int fleet, int mostOut,
            int mostPerS, int mostAccounts) { }

    /** What a call says of one customer; amounts in milli-units, shares in millionths. */
    public record Row(long customer, long number, long answered, long spent, long want, long demand, int set, long rate,
            long burst, int share, boolean release) { }

    /**
     * One call, for some customers; without any it only says that this front door is there.
     *
     * @param untilMs the counter's clock, after which the call shall change nothing; 0 if that isn't known
     */
    public record Call(String epoch, long untilMs, List<Row> rows) {
        public Call {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The counter's answer to a row, in the same units.
     *
     * @param lost whether the counter was found to have lost answers
     * @param late whether the call came too late and has changed nothing
     * @param clockMs the counter's clock
     */
    public record Told(String epoch, long number, long held, long leaseMs, int share, boolean lost, boolean late,
            long clockMs) { }

    /** What the decider asks for; only while it is told something. */
    public interface Actions {
        /** Ask the counter; exactly one {@link #told} or {@link #failed} comes of it, later. */
        void call(Call call);

        /** The same for a call without rows; {@link #beaten} or {@link #beatFailed} comes of it, later. */
        void beat(Call call);

        /** A line for operators. */
        void log(String line);
    }

    /** What a customer at this front door goes by. */
    public enum State { FLOOR, LEASED, GAP, SHARE }

    /** For operators; rows are the customers that the calls were for. */
    public record Status(boolean away, String epoch, int accounts, int out, long calls, long rows, long failures, long epochs,
            long distrusted, long unknown, double heldUnits) { }

    private static final class Account {
        final long customer;
        final Ceiling ceiling;
        int set;
        State state = State.FLOOR;
        /** Units leased and left in LEASED; the store of its own in FLOOR and SHARE. */
        double left;
        long filledAt;
        /** Since its start, from leases. */
        double spent;
        /** {@link #spent} when the call that is out was sent, or that was answered last. */
        double spentAtCall;
        double demand;
        long demandAt;
        double biggest;
        long seenAt;
        long number;
        long answered;
        boolean calling;
        boolean queued;
        boolean releasing;
        long calledAt = NEVER;
        double wanted;
        boolean scarce;
        long leaseEnds;
        long shareFrom;
        long shareEnds;
        int share;
        double excess;
        long meteredAt = NEVER;
        long distrustUntil = NEVER;

        Account(long customer, Ceiling ceiling) {
            this.customer = customer;
            this.ceiling = ceiling;
        }
    }

    private final Terms terms;
    private final Actions actions;
    private final long startedAt;
    private long lastNumber;
    private final Map<Long, Account> accounts = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Account> due = new ArrayDeque<>();
    private String epoch = "";
    private boolean away;
    private boolean clockKnown;
    private long clockOffset;
    private boolean beating;
    private long beatAt;
    private long gatheredSince;
    private int out;
    private double callCredit;
    private long creditAt;
    private long calls;
    private long rowsSent;
    private long failures;
    private long epochs;
    private long distrusted;
    private long unknown;

    public LimitsDecider(Terms terms, long now, Actions actions) {
        this.terms = terms;
        this.actions = actions;
        startedAt = now;
        creditAt = now;
        beatAt = now - terms.leaseNs();
        callCredit = terms.mostOut();
    }

    // ---- A request -----------------------------------------------------------------------------------------

    /**
     * Whether the customer's request may be let in as far as this ceiling goes; if so its units are spent.
     *
     * @param set front doors that the customer's requests come in through, 1 or more; may change
     */
    public boolean take(long now, long customer, Ceiling ceiling, int set, double units) {
        Account account = accounts.get(customer);
        if (account == null) {
            if (accounts.size() >= terms.mostAccounts()) {
                unknown++;
                return false;
            }
            account = new Account(customer, ceiling);
            account.set = set;
            account.demandAt = now;
            account.filledAt = now;
            // After a restart it is not known what was let in before: a floor starts with what has surely filled since.
            account.left = Math.min(leastPart(account) * ceiling.burst(),
                    leastPart(account) * ceiling.ratePerS() * (now - startedAt) / SECOND);
            accounts.put(customer, account);
        }
        account.set = set;
        account.seenAt = now;
        account.biggest = Math.max(units, account.biggest * 0.99);
        demanded(account, now, units);
        settleState(account, now);
        boolean let = account.left >= units;
        if (let) {
            draw(account, units);
        }
        consider(account, now);
        // It waits for others to be asked for with it, since a call costs far more than a row; where little is to be had,
        // sooner brings no more.
        boolean urgent = account.queued && !account.scarce && (account.state != State.LEASED || account.left < units);
        if (urgent || due.size() >= MOST_ROWS) {
            pump(now);
        }
        return let;
    }

    /**
     * After how long units like these may be let in, in ns: for a store of its own when it has filled, else when the next
     * answer can have come. 0 if the customer isn't known.
     */
    public long waitNs(long now, long customer, double units) {
        Account account = accounts.get(customer);
        if (account == null) {
            return 0;
        }
        settleState(account, now);
        boolean own = away && (account.state == State.SHARE || account.state == State.FLOOR);
        double missing = (units - account.left) / Math.max(1e-9, part(account) * account.ceiling.ratePerS()) * SECOND;
        return (long) (own ? Math.min(missing, terms.lossNs()) : 2.0 * gap(account));
    }

    /** The true units are known, or the request was never sent on: so many more (or fewer) than were taken. */
    public void settle(long now, long customer, double more) {
        Account account = accounts.get(customer);
        if (account != null && more != 0) {
            settleState(account, now);
            draw(account, more);
        }
    }

    private void draw(Account account, double units) {
        account.left -= units;
        if (account.state == State.LEASED) {
            account.spent += units;
        }
    }

    /**
     * The meter's word for its last period; heard again within a period it is the same word.
     *
     * @param used units let in by all front doors together
     * @param periodNs the period's length
     */
    public void metered(long now, long customer, double used, long periodNs) {
        Account account = accounts.get(customer);
        if (account == null || now - account.meteredAt < periodNs) {
            return;
        }
        account.meteredAt = now;
        account.excess = Math.max(0, account.excess + used - account.ceiling.ratePerS() * periodNs / SECOND);
        if (account.excess > account.ceiling.burst() * EXCESS_SLACK && account.distrustUntil < now) {
            account.distrustUntil = now + terms.lossNs();
            account.excess = 0;
            distrusted++;
            actions.log("limits: the meter tells more for customer " + Long.toHexString(customer)
                    + " than the counter allows: units are let in that it does not count; going by this front door's share");
        }
    }

    private void demanded(Account account, long now, double units) {
        fade(account, now);
        account.demand += units / (DEMAND_SPAN / SECOND);
    }

    private static void fade(Account account, long now) {
        account.demand *= Math.exp(-(now - account.demandAt) / DEMAND_SPAN);
        account.demandAt = now;
    }

    private double leastPart(Account account) {
        return terms.floor() / account.set;
    }

    /** Of the ceiling, that it goes by when it holds no lease. */
    private double part(Account account) {
        return account.state == State.FLOOR ? leastPart(account) : account.share / (double) ALL;
    }

    // ---- What it goes by -----------------------------------------------------------------------------------

    /** Moves on what time has ended, and fills a store of its own. */
    private void settleState(Account account, long now) {
        if (account.state == State.LEASED && now - account.leaseEnds >= 0) {
            account.state = State.GAP;
            account.left = 0; // what is owed is told as spent
        }
        if (account.state == State.GAP && !account.calling && now - account.shareFrom >= 0) {
            account.state = State.SHARE;
            account.filledAt = account.shareFrom;
        }
        if (account.state == State.SHARE && now - account.shareEnds >= 0) {
            fill(account, account.shareEnds);
            account.state = State.FLOOR;
            account.answered = 0;
            account.left = Math.min(0, account.left);
        }
        if (account.calling) {
            account.filledAt = Math.max(account.filledAt, now); // once heard, the counter gives this part to others
        } else if (account.state == State.SHARE || account.state == State.FLOOR) {
            fill(account, now);
        }
    }

    private void fill(Account account, long now) {
        if (now - account.filledAt > 0) {
            double part = part(account);
            double more = account.ceiling.ratePerS() * part * (now - account.filledAt) / SECOND;
            account.left = Math.min(Math.max(account.left, account.ceiling.burst() * part), account.left + more);
            account.filledAt = now;
        }
    }

    private int share(Account account) {
        return account.state == State.FLOOR ? (int) (leastPart(account) * ALL) : account.share;
    }

    // ---- Calls ---------------------------------------------------------------------------------------------

    /** Puts it in the row of those to be asked for, if it is time. */
    private void consider(Account account, long now) {
        if (account.calling || account.queued || away || account.distrustUntil > now) {
            return;
        }
        long since = now - account.calledAt;
        boolean never = account.state != State.LEASED;
        boolean old = since >= terms.leaseNs() * LOW;
        boolean low = account.left < Math.max(account.wanted, target(account)) * LOW && since >= gap(account);
        if (since >= LEAST_GAP && (never || old || low)) {
            queue(account, now);
        }
    }

    private void queue(Account account, long now) {
        if (due.isEmpty()) {
            gatheredSince = now;
        }
        account.queued = true;
        due.addLast(account);
    }

    /** When little was to be had, the next call comes when the share has brought a request's worth. */
    private long gap(Account account) {
        if (!account.scarce) {
            return LEAST_GAP;
        }
        double perS = Math.max(account.share, 1) / (double) ALL * account.ceiling.ratePerS();
        return (long) Math.max(SCARCE_GAPS * LEAST_GAP, Math.min(terms.leaseNs() * LOW, account.biggest / perS * SECOND));
    }

    /** Units that it should hold: its demand for some time ahead, the largest request at least. */
    private double target(Account account) {
        double ahead = account.demand * AHEAD * terms.leaseNs() / SECOND;
        // No more than its even part of the burst, or what one holds unused the others miss.
        double most = Math.min(account.ceiling.burst(), Math.max(account.biggest, account.ceiling.burst() / account.set));
        return Math.min(most, SPARE * account.biggest + ahead);
    }

    /** Sends what is due, within the bounds. */
    private void pump(long now) {
        callCredit = Math.min(terms.mostOut(), callCredit + terms.mostPerS() * (now - creditAt) / SECOND);
        creditAt = now;
        while (!away && out < terms.mostOut() && callCredit >= 1 && !due.isEmpty()) {
            List<Row> rows = new ArrayList<>(Math.min(MOST_ROWS, due.size()));
            while (rows.size() < MOST_ROWS && !due.isEmpty()) {
                Account account = due.pollFirst();
                account.queued = false;
                settleState(account, now);
                fade(account, now);
                rows.add(row(account, now));
            }
            callCredit--;
            out++;
            calls++;
            rowsSent += rows.size();
            actions.call(new Call(epoch, untilMs(now), rows));
        }
    }

    private Row row(Account account, long now) {
        boolean release = account.releasing;
        if (release) {
            // It goes by its floor from now on, from empty: what it holds is given back.
            account.state = State.FLOOR;
            account.left = 0;
            account.answered = 0;
        }
        account.calling = true;
        account.calledAt = now;
        account.wanted = release ? 0 : target(account);
        account.spentAtCall = account.spent;
        account.number = ++lastNumber;
        return new Row(account.customer, account.number, account.answered, milli(account.spent), milli(account.wanted),
                milli(account.demand), account.set, milli(account.ceiling.ratePerS()), milli(account.ceiling.burst()),
                share(account), release);
    }

    /** By the answer that told the counter's clock highest for its time; a call that comes later than the guard is void. */
    private long untilMs(long now) {
        return clockKnown ? (now + clockOffset + terms.guardNs()) / MS : 0;
    }

    private void clock(Told told, long sentAt) {
        // The counter answered after this was sent: its clock is behind what is reckoned from here by the way there at most.
        clockOffset = told.clockMs() * MS - sentAt;
        clockKnown = true;
    }

    private static long milli(double units) {
        return (long) Math.ceil(units * MILLI);
    }

    /**
     * The counter's answer.
     *
     * @param told for each of the call's rows, in their order
     */
    public void told(long now, Call call, List<Told> told) {
        out--;
        away = false;
        for (int i = 0; i < call.rows().size(); i++) {
            told(now, accounts.get(call.rows().get(i).customer()), told.get(i));
        }
        if (due.size() >= MOST_ROWS) {
            pump(now);
        }
    }

    private void told(long now, Account account, Told told) {
        if (!told.late() && !told.epoch().equals(epoch)) {
            newEpoch(told, now);
        }
        if (account == null || !account.calling || told.number() != account.number) {
            return;
        }
        clock(told, account.calledAt);
        account.calling = false;
        if (account.releasing || told.late()) {
            account.releasing = false;
            account.filledAt = now;
            return;
        }
        settleState(account, now);
        if (account.state != State.LEASED) {
            account.spent += Math.max(0, -account.left); // overdrawn on a store of its own: owed to all from now on
        }
        double held = told.held() / MILLI - (account.spent - account.spentAtCall);
        account.leaseEnds = account.calledAt + told.leaseMs() * MS;
        account.shareFrom = silentFrom(account);
        account.shareEnds = account.calledAt + terms.leaseNs() + terms.lossNs();
        account.answered = told.number();
        account.share = told.share();
        account.scarce = told.held() / MILLI < account.wanted * LOW;
        if (now - account.leaseEnds < 0) {
            account.left = held;
            account.state = State.LEASED;
        } else {
            account.left = 0;
            account.state = State.GAP;
        }
    }

    /** The counter can have heard its last call as late as the guard allows; only after that lease is the share withheld. */
    private long silentFrom(Account account) {
        return account.calledAt + terms.guardNs() + terms.leaseNs();
    }

    private void newEpoch(Told told, long now) {
        if (!epoch.isEmpty()) {
            epochs++;
            actions.log("limits: the counter's memory is a new one" + (told.lost() ? " (it had lost answers)" : "")
                    + ": ceilings fill from nothing");
        }
        epoch = told.epoch();
        // What was leased by the old memory is good until its end; what it answered proves nothing to the new one, and
        // shares of the old one are given up, or the new one could never give them anew.
        for (Account each : accounts.values()) {
            settleState(each, now);
            each.answered = 0;
            if (each.state == State.SHARE || each.state == State.GAP) {
                each.state = State.FLOOR;
                each.left = Math.min(0, each.left);
                each.filledAt = now;
            }
            each.share = (int) (leastPart(each) * ALL);
        }
    }

    /** No answer in time, or an error in its place: it may have been heard or not. */
    public void failed(long now, Call call) {
        out--;
        failures++;
        for (Row row : call.rows()) {
            failed(now, accounts.get(row.customer()), row);
        }
        lost();
    }

    private void failed(long now, Account account, Row row) {
        if (account != null && account.calling && account.number == row.number()) {
            account.calling = false;
            settleState(account, now);
            if (account.state != State.FLOOR) {
                // Heard, it began another lease there: the share is withheld only after that.
                if (account.state == State.SHARE) {
                    account.state = State.GAP;
                }
                account.shareFrom = Math.max(account.shareFrom, silentFrom(account));
            } else {
                account.filledAt = Math.max(account.filledAt, silentFrom(account));
            }
            account.releasing = false;
        }
    }

    private void lost() {
        if (!away) {
            away = true;
            due.forEach(each -> {
                each.queued = false;
                each.releasing = false; // active again meanwhile, it is to be leased, not let go
            });
            due.clear();
            actions.log("limits: the counter does not answer: going by this front door's shares");
        }
    }

    /** The counter has heard that this front door is there. If it was away, those who wait are asked for in turn. */
    public void beaten(long now, Told told) {
        beating = false;
        clock(told, beatAt);
        if (!told.late() && !told.epoch().equals(epoch)) {
            newEpoch(told, now);
            beatAt = now - terms.leaseNs(); // so that it hears soon whose epoch this front door goes by
        }
        if (away) {
            away = false;
            actions.log("limits: the counter answers again");
            accounts.values().forEach(each -> consider(each, now));
            pump(now);
        }
    }

    /** No word from the counter. */
    public void beatFailed(long now) {
        beating = false;
        failures++;
        lost();
    }

    // ---- Time ----------------------------------------------------------------------------------------------

    /** To be called every 10 to 100 ms: leases are renewed, what is idle is let go. */
    public void tick(long now) {
        if (!beating && (away || now - beatAt >= terms.leaseNs() / BEATS)) {
            beating = true;
            beatAt = now;
            actions.beat(new Call(epoch, untilMs(now), List.of()));
        }
        int looks = Math.min(MOST_LOOKS, accounts.size());
        for (int i = 0; i < looks; i++) {
            Account eldest = accounts.values().iterator().next();
            accounts.get(eldest.customer); // goes behind the others
            look(eldest, now);
        }
        if (now - gatheredSince >= terms.leaseNs() / GATHERED || due.size() >= MOST_ROWS) {
            pump(now);
        }
    }

    private void look(Account account, long now) {
        settleState(account, now);
        if (now - account.seenAt < terms.idleNs()) {
            consider(account, now);
        } else if (account.state == State.LEASED && !account.calling && !account.queued && !away) {
            account.releasing = true;
            queue(account, now);
        } else if (account.state == State.FLOOR && !account.calling && !account.queued
                && account.left >= leastPart(account) * account.ceiling.burst()) {
            accounts.remove(account.customer);
        }
    }

    /** What the customer goes by now, for tests and operators; null if it isn't known here. */
    public State state(long now, long customer) {
        Account account = accounts.get(customer);
        if (account == null) {
            return null;
        }
        settleState(account, now);
        return account.state;
    }

    public Status status() {
        double held = 0;
        for (Account each : accounts.values()) {
            held += each.state == State.LEASED ? Math.max(0, each.left) : 0;
        }
        return new Status(away, epoch, accounts.size(), out, calls, rowsSent, failures, epochs, distrusted, unknown, held);
    }
}
