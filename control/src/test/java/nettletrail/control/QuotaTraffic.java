package nettletrail.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;

/**
 * Requests of one tenant at the doors of a fleet; each waits in its door's FIFO queue until it gets
 * its tokens or times out.
 */
final class QuotaTraffic {
  private static final double SECOND = 1e9;

  private final ControlFleet fleet;
  private final String tenant;
  private final Random random;
  private final Map<Integer, Deque<Request>> queues = new HashMap<>();
  private final Map<Integer, Long> hoards = new HashMap<>();
  private final List<Use> uses = new ArrayList<>();
  final List<Long> waitsMs = new ArrayList<>();
  long clientTimeoutMs = 4_000;
  long timedOut;
  private final Map<Long, Integer> servedOfSize = new HashMap<>();
  private final Map<Long, Integer> timedOutOfSize = new HashMap<>();

  /** Fraction of the served requests whose tokens are refunded some milliseconds later. */
  double refundedFraction;

  private record Request(long at, long tokens) {}

  private static final class Use {
    final long at;
    long tokens;

    Use(long at, long tokens) {
      this.at = at;
      this.tokens = tokens;
    }
  }

  QuotaTraffic(ControlFleet fleet, String tenant, long seed) {
    this.fleet = fleet;
    this.tenant = tenant;
    this.random = new Random(seed);
    for (int door = 0; door < fleet.doorCount(); door++) {
      watch(door);
    }
  }

  private void watch(int door) {
    queues.put(door, new ArrayDeque<>());
    fleet.door(door).afterMessage = () -> drain(door);
  }

  /** Poisson arrivals at one door for a while, at this rate, each of a random one of the sizes. */
  void arrivals(int door, double perSecond, long[] sizes, long millis) {
    long end = fleet.now + millis * ControlFleet.MILLIS;
    scheduleNext(door, perSecond, sizes, end);
  }

  private void scheduleNext(int door, double perSecond, long[] sizes, long end) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
    fleet.schedule(
        gap,
        () -> {
          if (fleet.now < end) {
            arrive(door, sizes[random.nextInt(sizes.length)]);
            scheduleNext(door, perSecond, sizes, end);
          }
        });
  }

  /** Whether doors report the tokens of all queued requests; else only the first one is tried. */
  boolean reportsQueue;

  /** A door whose first request has waited for longer than this rejects new ones of any size. */
  long rejectAfterMs = Long.MAX_VALUE;

  void arrive(int door, long tokens) {
    Request first = queues.get(door).peek();
    if (first != null && (fleet.now - first.at()) / ControlFleet.MILLIS > rejectAfterMs) {
      timedOut++;
      timedOutOfSize.merge(tokens, 1, Integer::sum);
      return;
    }
    queues.get(door).add(new Request(fleet.now, tokens));
    drain(door);
  }

  private void drain(int door) {
    Deque<Request> queue = queues.get(door);
    while (!queue.isEmpty()) {
      Request first = queue.peek();
      long waitedMs = (fleet.now - first.at()) / ControlFleet.MILLIS;
      if (waitedMs > clientTimeoutMs) {
        queue.poll();
        timedOut++;
        timedOutOfSize.merge(first.tokens(), 1, Integer::sum);
        fleet.door(door).control.grants().withdraw(tenant, first.tokens());
        continue;
      }
      if (!fleet.door(door).running) {
        return;
      }
      if (reportsQueue) {
        fleet.door(door).control.grants().queuedTokensChanged(tenant, queued(queue), fleet.now);
      }
      if (!fleet.door(door).take(tenant, first.tokens())) {
        return;
      }
      queue.poll();
      waitsMs.add(waitedMs);
      servedOfSize.merge(first.tokens(), 1, Integer::sum);
      used(door, first.tokens());
    }
    long hoarded = hoards.getOrDefault(door, 0L);
    fleet.door(door).control.grants().queuedTokensChanged(tenant, hoarded, fleet.now);
  }

  /** The door requests this much, as for a queued request, and doesn't use it. */
  void hoard(int door, long tokens) {
    hoards.put(door, tokens);
    if (fleet.door(door).control.grants().usableTokens(tenant, fleet.now) < tokens) {
      fleet.door(door).take(tenant, tokens);
    }
    fleet.door(door).control.grants().queuedTokensChanged(tenant, tokens, fleet.now);
  }

  /** The door uses all its tokens at once. */
  void release(int door) {
    if (fleet.door(door).running) {
      long usable = fleet.door(door).control.grants().usableTokens(tenant, fleet.now);
      if (usable > 0 && fleet.door(door).take(tenant, usable)) {
        used(door, usable);
      }
    }
  }

  /** Counts use under a limit. */
  private void used(int door, long tokens) {
    if (!fleet.door(door).limits(tenant)) {
      return;
    }
    Use use = new Use(fleet.now, tokens);
    uses.add(use);
    long incarnation = fleet.door(door).incarnation;
    if (random.nextDouble() < refundedFraction) {
      use.tokens = 0;
      fleet.schedule(
          random.nextInt(400) * ControlFleet.MILLIS,
          () -> {
            if (fleet.door(door).running && fleet.door(door).incarnation == incarnation) {
              fleet.door(door).control.grants().refund(tenant, tokens);
            }
          });
    }
  }

  private static long queued(Deque<Request> queue) {
    return queue.stream().mapToLong(Request::tokens).sum();
  }

  /** The fraction of the requests of one size that got their tokens. */
  double servedFraction(long size) {
    int served = servedOfSize.getOrDefault(size, 0);
    int all = served + timedOutOfSize.getOrDefault(size, 0);
    return all == 0 ? 1 : (double) served / all;
  }

  long usedTokens() {
    return uses.stream().mapToLong(use -> use.tokens).sum();
  }

  /** This quantile of the waits of served requests, in milliseconds. */
  long waitMsAtQuantile(double quantile) {
    List<Long> sorted = new ArrayList<>(waitsMs);
    Collections.sort(sorted);
    return sorted.isEmpty()
        ? 0
        : sorted.get((int) Math.min(sorted.size() - 1, quantile * sorted.size()));
  }

  /** The largest use in any window, as a fraction of the bound. */
  double worstWindow(GrantTerms terms, QuotaLimit limit) {
    return worstWindowFrom(Long.MIN_VALUE, terms, limit);
  }

  /** The largest use in any window that begins at this instant or later, as a fraction. */
  double worstWindowFrom(long instant, GrantTerms terms, QuotaLimit limit) {
    double bound =
        (limit.ratePerSecond() * terms.windowSeconds() + limit.burst())
                * (1 + terms.overshootFraction())
            + terms.slackTokens();
    long span = (long) (terms.windowSeconds() * SECOND);
    double worst = 0;
    long sum = 0;
    int first = 0;
    List<Use> judged = uses.stream().filter(use -> use.at >= instant).toList();
    for (Use use : judged) {
      sum += use.tokens;
      while (use.at - judged.get(first).at > span) {
        sum -= judged.get(first).tokens;
        first++;
      }
      worst = Math.max(worst, sum);
    }
    return worst / bound;
  }
}
