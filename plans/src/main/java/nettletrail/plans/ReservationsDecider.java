package nettletrail.plans;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Allowance set aside for customers, as one front door holds its even part of it. No I/O and no
 * clock. One thread.
 *
 * <p><b>Granting.</b> A reservation is a rate from one instant to another, with a total. It is
 * granted if at no instant of it all granted ones together, of all customers, take more than a
 * stated share of what the nodes can do. When nodes leave, those granted last lose first, and as
 * much as is missing; when nodes come back they gain in the order in which they were granted. Both
 * are told.
 *
 * <p><b>Using.</b> There is one store for all that the nodes can do (rate C, W of it at once) and
 * one for each reservation in force (its rate r, W of it at once, from full at its begin, its total
 * at most):
 *
 * <pre>
 * who asks                       passes if                                               draws from
 * a customer with a reservation  its store holds the units                               its store, and the one for all
 * that one beyond it, others     the one for all holds them, and above what is held back  the one for all
 * </pre>
 *
 * Held back is what stands in the stores of those reservations that are wanted: their customers
 * asked within the last W. So a reserved unit that is wanted is spent by nobody else, and one that
 * isn't serves others. A customer that begins to ask finds its own store full, whatever others
 * took: the one for all may fall below nothing by what stands in reserved stores, and others wait
 * until it has filled. What all are let have in any time t is C (t + W) plus at most W of each
 * reservation's rate.
 *
 * <p>Units are in thousandths, a rate is units a second, times in ns of a clock that does not go
 * back.
 */
public final class ReservationsDecider {
  /** Hears what becomes of reservations. */
  public interface Actions {
    /**
     * What a granted reservation is held to from now on, of what was granted; for staff and the
     * customer's.
     */
    void held(Reservation reservation, double ratePerS);
  }

  /**
   * Allowance set aside.
   *
   * @param id unique
   * @param ratePerS over all front doors together
   * @param units in all, over all front doors together
   */
  public record Reservation(
      long id, long customer, double ratePerS, double units, long from, long to) {
    public Reservation {
      if (!(ratePerS > 0 && units > 0) || to <= from) {
        throw new IllegalArgumentException(
            "Reservation: rate and units must be above 0, and its end behind its begin");
      }
    }
  }

  /** What came of a wish. */
  public enum Answer {
    GRANTED,
    KNOWN,
    TOO_MUCH,
    PAST,
    TOO_MANY,
    NOT_KNOWN
  }

  /**
   * How it goes about it.
   *
   * @param share of what the nodes can do that may be promised, 0 to 1
   * @param windowNs W
   * @param fleet front doors that reserved customers' requests come in through evenly
   * @param most reservations
   */
  public record Terms(double share, long windowNs, int fleet, int most) {
    public Terms {
      if (!(share > 0 && share <= 1) || windowNs < 1 || fleet < 1 || most < 1) {
        throw new IllegalArgumentException("Terms: out of range");
      }
    }
  }

  private static final double SECOND = 1e9;

  private static final class Held {
    Reservation reservation;

    /** What it is held to now, over all front doors. */
    double ratePerS;

    double store;
    double left;
    long filledAt;
    long askedAt = Long.MIN_VALUE / 2;
    boolean begun;

    Held(Reservation reservation) {
      this.reservation = reservation;
      ratePerS = reservation.ratePerS();
    }
  }

  private final Terms terms;
  private final Actions actions;

  /** In the order in which they were granted. */
  private final Map<Long, Held> granted = new LinkedHashMap<>();

  /** What the nodes can do together, units a second. */
  private double capacity;

  private double common;
  private long filledAt;

  public ReservationsDecider(Terms terms, double capacity, long now, Actions actions) {
    this.terms = terms;
    this.actions = actions;
    this.capacity = capacity;
    common = capacity / terms.fleet() * terms.windowNs() / SECOND;
    filledAt = now;
  }

  // ---- Granting
  // ------------------------------------------------------------------------------------------

  /** A wish; heard again it is known. */
  public Answer reserve(long now, Reservation wish) {
    Held there = granted.get(wish.id());
    if (there != null) {
      return there.reservation.equals(wish) ? Answer.KNOWN : Answer.TOO_MUCH;
    }
    settle(now);
    if (wish.to() <= now) {
      return Answer.PAST;
    }
    if (granted.size() >= terms.most()) {
      return Answer.TOO_MANY;
    }
    if (!fits(wish, null)) {
      return Answer.TOO_MUCH;
    }
    granted.put(wish.id(), new Held(wish));
    settle(now);
    return Answer.GRANTED;
  }

  /**
   * Another end for one that is granted: a later one if that fits, an earlier one always, and not
   * before now.
   */
  public Answer extend(long now, long id, long to) {
    Held held = granted.get(id);
    if (held == null) {
      return Answer.NOT_KNOWN;
    }
    settle(now);
    Reservation was = held.reservation;
    if (to <= now || to <= was.from()) {
      return Answer.PAST;
    }
    Reservation wish =
        new Reservation(id, was.customer(), was.ratePerS(), was.units(), was.from(), to);
    if (to > was.to() && !fits(wish, held)) {
      return Answer.TOO_MUCH;
    }
    held.reservation = wish;
    return Answer.GRANTED;
  }

  /** Ends it; what it didn't use serves others from now on. */
  public Answer cancel(long now, long id) {
    settle(now);
    if (granted.remove(id) == null) {
      return Answer.NOT_KNOWN;
    }
    adjust();
    return Answer.GRANTED;
  }

  /** At each instant of it; the sum changes only where a reservation begins. */
  private boolean fits(Reservation wish, Held but) {
    List<Long> begins = new ArrayList<>(List.of(wish.from()));
    granted.values().forEach(each -> begins.add(each.reservation.from()));
    for (long at : begins) {
      if (at < wish.from() || at >= wish.to()) {
        continue;
      }
      double sum = wish.ratePerS();
      for (Held each : granted.values()) {
        sum +=
            each != but && each.reservation.from() <= at && at < each.reservation.to()
                ? each.reservation.ratePerS()
                : 0;
      }
      if (sum > terms.share() * capacity) {
        return false;
      }
    }
    return true;
  }

  /** Nodes left or came: what all of them can do now, units a second. */
  public void capacity(long now, double unitsPerS) {
    settle(now);
    capacity = unitsPerS;
    adjust();
  }

  /**
   * Who was granted first is held to first; those that have begun only, since the others may still
   * find more.
   */
  private void adjust() {
    double left = terms.share() * capacity;
    for (Held each : granted.values()) {
      if (!each.begun) {
        continue;
      }
      double rate = Math.max(0, Math.min(each.reservation.ratePerS(), left));
      left -= rate;
      if (rate != each.ratePerS) {
        each.ratePerS = rate;
        each.store = Math.min(each.store, most(each));
        actions.held(each.reservation, rate);
      }
    }
  }

  // ---- Using
  // ---------------------------------------------------------------------------------------------

  /**
   * Whether a customer may use so many units now, as far as reservations go; if so they are used.
   */
  public boolean use(long now, long customer, double units) {
    settle(now);
    for (Held each : granted.values()) {
      if (each.begun && each.reservation.customer() == customer) {
        each.askedAt = now;
        if (each.store >= units) {
          each.store -= units;
          each.left -= units;
          common -= units;
          return true;
        }
      }
    }
    double heldBack = 0;
    for (Held each : granted.values()) {
      boolean wanted = each.begun && now - each.askedAt < terms.windowNs();
      heldBack += wanted && each.reservation.customer() != customer ? each.store : 0;
    }
    if (common - heldBack < units) {
      return false;
    }
    common -= units;
    return true;
  }

  /** It was let in and came whole to no backend. */
  public void giveBack(long now, double units) {
    settle(now);
    common = Math.min(capacity / terms.fleet() * terms.windowNs() / SECOND, common + units);
  }

  private double most(Held held) {
    return Math.min(held.left, held.ratePerS / terms.fleet() * terms.windowNs() / SECOND);
  }

  /** Ends and begins what is due, and fills. */
  private void settle(long now) {
    boolean changed =
        granted
            .values()
            .removeIf(each -> each.reservation.to() <= now || each.begun && each.left <= 0);
    for (Held each : granted.values()) {
      if (!each.begun && each.reservation.from() <= now) {
        each.begun = true;
        each.left = each.reservation.units() / terms.fleet();
        each.store = most(each);
        each.filledAt = now;
        changed = true;
      }
    }
    if (changed) {
      adjust();
    }
    if (now - filledAt > 0) {
      double rate = capacity / terms.fleet();
      common =
          Math.min(rate * terms.windowNs() / SECOND, common + rate * (now - filledAt) / SECOND);
      for (Held each : granted.values()) {
        if (each.begun) {
          each.store =
              Math.min(
                  most(each),
                  each.store + each.ratePerS / terms.fleet() * (now - each.filledAt) / SECOND);
          each.filledAt = now;
        }
      }
      filledAt = now;
    }
  }

  /**
   * When something begins or ends next, in ns; {@link Long#MAX_VALUE} for never. For whoever shows
   * them.
   */
  public long nextDue(long now) {
    long due = Long.MAX_VALUE;
    for (Held each : granted.values()) {
      Reservation of = each.reservation;
      due = Math.min(due, of.from() > now ? of.from() : of.to() > now ? of.to() : Long.MAX_VALUE);
    }
    return due;
  }

  /** What is granted, in that order, and what each is held to now. */
  public Map<Reservation, Double> granted(long now) {
    settle(now);
    Map<Reservation, Double> all = new LinkedHashMap<>();
    granted.values().forEach(each -> all.put(each.reservation, each.ratePerS));
    return all;
  }
}
