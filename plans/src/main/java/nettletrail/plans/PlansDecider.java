package nettletrail.plans;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.plans.PlanTokenBucket.Bound;
import nettletrail.plans.Timeline.Change;
import nettletrail.plans.Timeline.ChangeResult;

/**
 * Decides, at one front door, under which plan each request is charged and whether its customer's
 * quota covers it. Does no I/O and reads no clock. One thread.
 *
 * <p>Each customer has a {@link Timeline} of plans and a {@link PlanTokenBucket} of this front
 * door's even share of the plan that applies: rate and burst divided by the number of front doors
 * that the customer's requests come in through.
 *
 * <ul>
 *   <li>First request: the plan that it names applies from the beginning, unless a change is known.
 *   <li>A request at or after the instant of a change: the plan of that instant applies from now
 *       on.
 *   <li>The wall clock goes back: the plan stays; an instant that was reached stays reached.
 *   <li>The number of front doors changes: the share changes, like a change of plan.
 *   <li>Idle, bucket full, no change pending: the customer is evicted.
 * </ul>
 *
 * <p>Front doors that learn of a change late, or whose wall clocks differ, apply it late: each
 * keeps its share of the larger of the two limits, and so do all of them together, since the shares
 * are even. A request is charged under the plan with which it was accepted, retries included: the
 * decider keeps nothing of requests.
 */
public final class PlansDecider {
  private static final long MS = 1_000_000L;
  private static final int MAX_EVICTION_CHECKS = 8;

  /**
   * Settings.
   *
   * @param graceMs by how much a change may come late, in milliseconds
   * @param maxCustomers how many are kept; further ones are rejected
   */
  public record Terms(long graceMs, int maxCustomers) {
    /** Checks the values. */
    public Terms {
      if (graceMs < 0 || maxCustomers < 1) {
        throw new IllegalArgumentException("Terms: out of range");
      }
    }
  }

  /** The decision on a request. */
  public sealed interface AdmissionDecision {}

  /**
   * Accepted, and charged under this plan to its end.
   *
   * @param number of the change by which the plan applies
   */
  public record Accepted(String plan, long number) implements AdmissionDecision {}

  /**
   * The customer's quota doesn't cover it.
   *
   * @param retryAfterNs after which it could, in nanoseconds; 0 if unknown
   */
  public record QuotaExceeded(String plan, long retryAfterNs) implements AdmissionDecision {}

  /** No further customer can be kept here. */
  public record TooManyCustomers() implements AdmissionDecision {}

  private static final class Customer {
    final Timeline timeline;
    Change inForce;
    PlanTokenBucket store;
    int set;

    Customer(Timeline timeline) {
      this.timeline = timeline;
    }
  }

  private final Terms terms;
  private final Map<String, Bound> plans = new LinkedHashMap<>();
  private final Map<Long, Customer> customers = new LinkedHashMap<>(16, 0.75f, true);
  private long changed;
  private long refused;

  /** Knows these plans and no customer. */
  public PlansDecider(Terms terms, Map<String, Bound> plans) {
    this.terms = terms;
    this.plans.putAll(plans);
  }

  /**
   * Adds a plan. The limit of a plan never changes: another limit is a plan of another name.
   *
   * @return false if the name is taken by a plan with another limit
   */
  public boolean define(String name, Bound bound) {
    Bound there = plans.putIfAbsent(name, bound);
    return there == null || there.equals(bound);
  }

  /**
   * Takes in a change of a customer's plan.
   *
   * @param usual the customer's plan so far, if it isn't known here yet
   */
  public ChangeResult change(long wallMs, long customer, String usual, Change change) {
    if (!plans.containsKey(change.plan()) || !plans.containsKey(usual)) {
      refused++;
      return ChangeResult.UNKNOWN_PLAN;
    }
    Customer known = customers.get(customer);
    if (known == null) {
      if (customers.size() >= terms.maxCustomers()) {
        refused++;
        return ChangeResult.TOO_MANY;
      }
      known = new Customer(new Timeline(usual));
    }
    long reached = known.inForce == null ? Long.MIN_VALUE : known.inForce.fromMs();
    ChangeResult answer = known.timeline.change(Math.max(wallMs, reached), change, terms.graceMs());
    if (answer == ChangeResult.ACCEPTED) {
      customers.put(customer, known);
      changed++;
    } else if (answer != ChangeResult.DUPLICATE) {
      refused++;
    }
    return answer;
  }

  /**
   * Decides on a request.
   *
   * @param named the plan that its client names; a known change has precedence
   * @param set how many front doors the customer's requests come in through, at least 1
   */
  public AdmissionDecision accept(
      long now, long wallMs, long customer, String named, int set, double units) {
    Customer known = customers.get(customer);
    if (known == null) {
      if (customers.size() >= terms.maxCustomers() && !evictOne(now, wallMs)) {
        return new TooManyCustomers();
      }
      known = new Customer(new Timeline(named));
      customers.put(customer, known);
    }
    advance(known, now, wallMs, set);
    if (known.store.use(now, units)) {
      return new Accepted(known.inForce.plan(), known.inForce.number());
    }
    long ready = known.store.readyAt(now, units);
    return new QuotaExceeded(
        known.inForce.plan(), ready == Long.MAX_VALUE ? 0 : Math.max(MS, ready - now));
  }

  private void advance(Customer customer, long now, long wallMs, int set) {
    Change due = customer.timeline.at(wallMs);
    if (customer.inForce != null && due.fromMs() < customer.inForce.fromMs()) {
      due = customer.inForce; // the wall clock went back
    }
    if (customer.store == null) {
      customer.store = new PlanTokenBucket(part(due.plan(), set), now);
    } else if (!due.plan().equals(customer.inForce.plan()) || set != customer.set) {
      customer.store.change(now, part(due.plan(), set));
    }
    customer.inForce = due;
    customer.set = set;
  }

  private Bound part(String plan, int set) {
    Bound bound = plans.get(plan);
    return new Bound(bound.ratePerS() / set, bound.burst() / set);
  }

  /** Evicts one of the least recently used customers whose state equals that of a new one. */
  private boolean evictOne(long now, long wallMs) {
    for (int checks = Math.min(MAX_EVICTION_CHECKS, customers.size()); checks > 0; checks--) {
      Map.Entry<Long, Customer> eldest = customers.entrySet().iterator().next();
      Customer customer = eldest.getValue();
      boolean unchanged =
          customer.timeline.changes().size() == 1
              && customer.timeline.nextAfter(wallMs) == Long.MAX_VALUE
              && customer.timeline.at(wallMs).fromMs() == Long.MIN_VALUE;
      if (unchanged && customer.store != null && customer.store.isFull(now)) {
        customers.remove(eldest.getKey());
        return true;
      }
      customers.get(eldest.getKey()); // becomes the most recently used
    }
    return false;
  }

  /**
   * The true cost of an accepted request is known: so many units more, or fewer if below 0, than it
   * was charged, whatever plan applies by now.
   */
  public void settle(long now, long customer, double more) {
    Customer known = customers.get(customer);
    if (known != null && known.store != null) {
      known.store.settle(now, more);
    }
  }

  /** A customer's present and future plans; empty if it isn't known here. */
  public List<Change> plans(long customer) {
    Customer known = customers.get(customer);
    return known == null ? List.of() : known.timeline.changes();
  }

  /** Counts for operators. */
  public record Status(int customers, int plans, long changed, long refused) {}

  /** The present counts. */
  public Status status() {
    return new Status(customers.size(), plans.size(), changed, refused);
  }
}
