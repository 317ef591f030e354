package nettletrail.control.grant;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.protocol.TenantUse;

/**
 * One tenant's token bucket at the owner of its shard.
 *
 * <p>{@code level + outstanding <= capacity} always holds, and only refilling at the rate adds to
 * the sum. Outstanding is what doors may still use: at each request a door says what it holds and
 * promises to drop replies that it hasn't got; what it neither used nor holds is credited. A door
 * that stays away keeps its tokens counted until they have surely run out; those are not credited,
 * since it may have used them.
 *
 * <p>Requests that wait come before what doors want to hold ahead of need; each of the two is
 * divided max-min, so that small wants are met whole. The door whose first request waits longest
 * may go beyond its share, so that a large request is reached. A part of the capacity isn't held
 * ahead, so that a request that finds too little at its door is served at once.
 */
final class TenantBucket {
  private static final double SECOND = 1e9;
  private static final long MILLIS = 1_000_000L;

  /** A door that asked within this time counts as serving the tenant. */
  private static final long SERVING = 3_000 * MILLIS;

  /** A waiting door that didn't ask for this long isn't waited for. */
  private static final long WAITING = 300 * MILLIS;

  /**
   * While a door waits for a large request, others get at most this part of the level at a time.
   */
  private static final double PART_BESIDE_FIRST = 0.5;

  /**
   * This part of the capacity is only for requests that wait, not for what doors want to hold
   * ahead.
   */
  private static final double RESERVED_PART = 0.2;

  private static final double PER_CENT = 100;

  /**
   * Above this part of the capacity in doors' hands, doors that can't use what they hold give it
   * back.
   */
  private static final double CROWDED = 0.9;

  private final GrantTerms terms;
  private final Map<Holder, Holding> holdings = new LinkedHashMap<>();
  private final Pressure pressure = new Pressure();
  private QuotaLimit limit;
  private double level;
  private long refilledAt;

  /** What all doors hold; summed anew at each refill, so that rounding doesn't add up. */
  private double outstandingSum;

  /** One life of a door's process. */
  record Holder(String door, long incarnation) {}

  /** What the bucket has of one holder; times in steady nanoseconds. */
  private static final class Holding {
    long lastRequest;
    long usedTotal;
    double outstanding;
    double wanted;
    double min;
    long expiresAt;
    long askedAt;
    long waitingSince;
    boolean waiting;

    double ahead() {
      return wanted - min;
    }
  }

  TenantBucket(GrantTerms terms, QuotaLimit limit, long now) {
    this.terms = terms;
    this.limit = limit;
    this.refilledAt = now;
  }

  /** Changes the limit from here on. */
  void limit(QuotaLimit newLimit, long now) {
    refill(now);
    limit = newLimit;
  }

  /**
   * Enters a door's account and returns what it may use from that request on, what it holds
   * included; -1 for a request that is older than one already seen.
   */
  long ask(Holder holder, long request, TenantUse use, long now) {
    refill(now);
    Holding holding = holdings.computeIfAbsent(holder, unseen -> newHolding(use));
    if (request <= holding.lastRequest) {
      return -1;
    }
    holding.lastRequest = request;
    holding.askedAt = now;
    double held = account(holding, use, now);
    holding.wanted = Math.max(use.getWantedTokens(), use.getMinTokens());
    holding.min = use.getMinTokens();
    markWaiting(holding, held, now);
    long granted = (long) share(holding, held);
    level -= Math.max(0, granted - held);
    setOutstanding(holding, Math.max(granted, held));
    holding.expiresAt = now + terms.outstandingMs(limit) * MILLIS;
    holding.waiting = holding.waiting && granted < holding.min;
    return granted;
  }

  /**
   * Use of the limit over the last period, in per cent of the rate; at most 100 while the bucket
   * holds more than its reserve. Requests are large beside a second's rate, so a period over the
   * rate doesn't tell by itself that a tenant asks for more than it has.
   */
  double pressure(long now) {
    refill(now);
    double percent = pressure.percentOf(limit.ratePerSecond(), now);
    boolean spent = level < RESERVED_PART * terms.capacity(limit);
    return spent ? percent : Math.min(percent, PER_CENT);
  }

  /** How many doors serve the tenant. */
  int doorsServing(long now) {
    int serving = 0;
    for (Holding holding : holdings.values()) {
      serving += now - holding.askedAt < SERVING ? 1 : 0;
    }
    return serving;
  }

  /** The bucket for operators; changes nothing. */
  QuotaStatus status(long now) {
    return new QuotaStatus(limit, level, outstanding(), terms.capacity(limit), doorsServing(now));
  }

  private static Holding newHolding(TenantUse use) {
    Holding holding = new Holding();
    holding.usedTotal = use.getUsedTotal();
    return holding;
  }

  /**
   * Settles what the door used and dropped since its last request; returns what it surely still
   * holds of this bucket.
   */
  private double account(Holding holding, TenantUse use, long now) {
    long used = Math.max(0, use.getUsedTotal() - holding.usedTotal);
    holding.usedTotal = Math.max(holding.usedTotal, use.getUsedTotal());
    pressure.add(used, now);
    double left = Math.max(0, holding.outstanding - used);
    double held = Math.min(Math.max(0, use.getUnusedTokens()), left);
    level += left - held;
    setOutstanding(holding, held);
    return held;
  }

  private void markWaiting(Holding holding, double held, long now) {
    boolean waits = holding.min > held;
    if (waits && !holding.waiting) {
      holding.waitingSince = now;
    }
    holding.waiting = waits;
  }

  /**
   * What the door may use: first what the waiting requests of all doors need, the rest for what
   * doors want ahead, each divided max-min. So what others hold ahead makes way for a request that
   * waits.
   */
  private double share(Holding holding, double held) {
    double available = held + level;
    Wants wants = wants(holding.askedAt);
    if (holding.waiting && wants.firstWaiting == holding) {
      double ahead = aheadShare(holding, wants, held);
      return Math.min(available, holding.min + ahead);
    }
    if (wants.firstWaiting != null) {
      available = held + level * PART_BESIDE_FIRST;
    }
    double needed =
        holding.min == 0 ? 0 : Math.min(holding.min, MaxMinShare.of(wants.needs(), supply()));
    double granted = Math.min(available, needed + aheadShare(holding, wants, held));
    boolean useless = holding.waiting && granted < holding.min;
    return useless && crowded() ? 0 : granted;
  }

  private double aheadShare(Holding holding, Wants wants, double held) {
    double left = supply() - wants.sumOfNeeds;
    if (left <= 0 || holding.ahead() == 0) {
      return 0;
    }
    double share = Math.min(holding.ahead(), MaxMinShare.of(wants.aheads(), left));
    double unreserved = Math.max(0, level - RESERVED_PART * terms.capacity(limit));
    return Math.min(share, Math.max(0, held - holding.min) + unreserved);
  }

  private double supply() {
    return level + outstanding();
  }

  private boolean crowded() {
    return level + outstanding() >= CROWDED * terms.capacity(limit);
  }

  /**
   * What all doors want that asked lately, gathered in one pass: with many doors this is most of
   * what a request costs.
   */
  private final class Wants {
    private final Holding[] holders = new Holding[holdings.size()];
    private int count;
    private double sumOfNeeds;
    private Holding firstWaiting;

    private void add(Holding holding, long now) {
      holders[count] = holding;
      count++;
      sumOfNeeds += holding.min;
      boolean waits = holding.waiting && now - holding.askedAt < WAITING;
      boolean before = firstWaiting == null || holding.waitingSince - firstWaiting.waitingSince < 0;
      if (waits && before) {
        firstWaiting = holding;
      }
    }

    private double[] needs() {
      double[] needs = new double[count];
      for (int index = 0; index < count; index++) {
        needs[index] = holders[index].min;
      }
      return needs;
    }

    private double[] aheads() {
      double[] aheads = new double[count];
      for (int index = 0; index < count; index++) {
        aheads[index] = holders[index].ahead();
      }
      return aheads;
    }
  }

  private Wants wants(long now) {
    Wants wants = new Wants();
    long valid = terms.validMs(limit) * MILLIS;
    for (Holding holding : holdings.values()) {
      if (holding.wanted > 0 && now - holding.askedAt < valid) {
        wants.add(holding, now);
      }
    }
    return wants;
  }

  private void refill(long now) {
    double sum = 0;
    for (Iterator<Holding> iterator = holdings.values().iterator(); iterator.hasNext(); ) {
      Holding holding = iterator.next();
      if (holding.outstanding > 0 && now - holding.expiresAt >= 0) {
        holding.outstanding = 0;
      }
      sum += holding.outstanding;
      if (holding.outstanding == 0 && now - holding.askedAt > 2 * SERVING) {
        iterator.remove();
      }
    }
    outstandingSum = sum;
    double refilled = level + limit.ratePerSecond() * (now - refilledAt) / SECOND;
    refilledAt = now;
    level = Math.max(0, Math.min(refilled, terms.capacity(limit) - outstanding()));
  }

  private double outstanding() {
    return outstandingSum;
  }

  private void setOutstanding(Holding holding, double tokens) {
    outstandingSum = Math.max(0, outstandingSum + tokens - holding.outstanding);
    holding.outstanding = tokens;
  }
}
