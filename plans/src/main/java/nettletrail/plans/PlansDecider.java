package nettletrail.plans;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.plans.PlanStore.Bound;
import nettletrail.plans.Timeline.Answer;
import nettletrail.plans.Timeline.Change;

/**
 * Under which plan each request is charged, and whether its customer's store lets it in, at one
 * front door. No I/O and no clock: it is told what happens and when, by a clock that never goes
 * back and by the wall's, which may. One thread.
 *
 * <p><b>A customer</b> here has a {@link Timeline} and a {@link PlanStore} of its even part of the
 * plan in force: rate and burst over the front doors that its requests come in through (its set).
 *
 * <pre>
 * what happens                      what becomes of the customer
 * first request                     the plan that it names is in force from the beginning, unless a change was heard before
 * a request at or after an instant  the plan of that instant is in force from now on (PlanStore.change)
 * the wall clock goes back          the plan stays: an instant that was reached stays reached
 * its set changes                   its part is of another size from now on: a change of plan like others
 * idle, store full, nothing to come forgotten; a change that was reached is kept in a table of names
 * </pre>
 *
 * Front doors that hear of a change late, or whose wall clocks differ, change late: each holds its
 * part of the larger of the two bounds all the same, and so do all of them together, since the
 * parts are even.
 *
 * <p>A request is charged under what it was given when it was accepted, to its end, further
 * attempts included: the decider keeps nothing of requests.
 */
public final class PlansDecider {
  private static final long MS = 1_000_000L;

  /**
   * How it goes about it.
   *
   * @param graceMs by how much a change may come late
   * @param mostCustomers remembered, at most; further ones are refused
   */
  public record Terms(long graceMs, int mostCustomers) {
    public Terms {
      if (graceMs < 0 || mostCustomers < 1) {
        throw new IllegalArgumentException("Terms: out of range");
      }
    }
  }

  /** What is said of a request. */
  public sealed interface Verdict {}

  /**
   * It is let in, and charged under this plan to its end.
   *
   * @param number of the decision by which the plan is in force
   */
  public record Accepted(String plan, long number) implements Verdict {}

  /**
   * Its customer's store doesn't hold it. @param retryAfterNs after which it could, 0 for no word
   */
  public record Exceeded(String plan, long retryAfterNs) implements Verdict {}

  /** No more customers are remembered here. */
  public record NoRoom() implements Verdict {}

  private static final class Customer {
    final Timeline timeline;
    Change inForce;
    PlanStore store;
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

  public PlansDecider(Terms terms, Map<String, Bound> plans) {
    this.terms = terms;
    this.plans.putAll(plans);
  }

  /** A further plan. What a plan bounds doesn't change: another bound is a plan of another name. */
  public boolean define(String name, Bound bound) {
    Bound there = plans.putIfAbsent(name, bound);
    return there == null || there.equals(bound);
  }

  /**
   * A change was decided.
   *
   * @param usual the customer's plan so far, if it isn't known here
   */
  public Answer change(long wallMs, long customer, String usual, Change change) {
    if (!plans.containsKey(change.plan()) || !plans.containsKey(usual)) {
      refused++;
      return Answer.UNKNOWN_PLAN;
    }
    Customer known = customers.get(customer);
    if (known == null) {
      if (customers.size() >= terms.mostCustomers()) {
        refused++;
        return Answer.TOO_MANY;
      }
      known = new Customer(new Timeline(usual));
    }
    long reached = known.inForce == null ? Long.MIN_VALUE : known.inForce.fromMs();
    Answer answer = known.timeline.change(Math.max(wallMs, reached), change, terms.graceMs());
    if (answer == Answer.TAKEN) {
      customers.put(customer, known);
      changed++;
    } else if (answer != Answer.KNOWN) {
      refused++;
    }
    return answer;
  }

  /**
   * A request comes.
   *
   * @param named the plan that its client names; what was decided goes before it
   * @param set front doors that the customer's requests come in through, 1 or more
   */
  public Verdict accept(long now, long wallMs, long customer, String named, int set, double units) {
    Customer known = customers.get(customer);
    if (known == null) {
      if (customers.size() >= terms.mostCustomers() && !forgetOne(now, wallMs)) {
        return new NoRoom();
      }
      known = new Customer(new Timeline(named));
      customers.put(customer, known);
    }
    moveOn(known, now, wallMs, set);
    if (known.store.use(now, units)) {
      return new Accepted(known.inForce.plan(), known.inForce.number());
    }
    long ready = known.store.readyAt(now, units);
    return new Exceeded(
        known.inForce.plan(), ready == Long.MAX_VALUE ? 0 : Math.max(MS, ready - now));
  }

  private void moveOn(Customer customer, long now, long wallMs, int set) {
    Change due = customer.timeline.at(wallMs);
    if (customer.inForce != null && due.fromMs() < customer.inForce.fromMs()) {
      due = customer.inForce; // the wall clock went back
    }
    if (customer.store == null) {
      customer.store = new PlanStore(part(due.plan(), set), now);
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

  /** The eldest few are looked at: one that is as a new one would be is forgotten. */
  private boolean forgetOne(long now, long wallMs) {
    for (int looks = Math.min(8, customers.size()); looks > 0; looks--) {
      Map.Entry<Long, Customer> eldest = customers.entrySet().iterator().next();
      Customer customer = eldest.getValue();
      boolean plain =
          customer.timeline.changes().size() == 1
              && customer.timeline.nextAfter(wallMs) == Long.MAX_VALUE
              && customer.timeline.at(wallMs).fromMs() == Long.MIN_VALUE;
      if (plain && customer.store != null && customer.store.isFull(now)) {
        customers.remove(eldest.getKey());
        return true;
      }
      customers.get(eldest.getKey()); // goes behind the others
    }
    return false;
  }

  /**
   * True units of an accepted request: so many more (fewer, below 0) than it was charged, whatever
   * plan is in force by now.
   */
  public void settle(long now, long customer, double more) {
    Customer known = customers.get(customer);
    if (known != null && known.store != null) {
      known.store.settle(now, more);
    }
  }

  /** A customer's plans in force and to come; empty if it isn't known here. */
  public List<Change> plans(long customer) {
    Customer known = customers.get(customer);
    return known == null ? List.of() : known.timeline.changes();
  }

  /** For operators. */
  public record Status(int customers, int plans, long changed, long refused) {}

  public Status status() {
    return new Status(customers.size(), plans.size(), changed, refused);
  }
}
