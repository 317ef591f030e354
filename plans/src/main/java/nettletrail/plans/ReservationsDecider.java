package nettletrail.plans;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Quota reserved for customers, as one front door keeps its even share of it. Does no I/O and reads
 * no clock. One thread.
 *
 * <p><b>Granting.</b> A reservation is a rate between two instants, with a total. It is granted if
 * at no instant all granted reservations together take more than a fraction of the backends'
 * capacity. When backends leave, the reservations that were granted last lose first, as much as is
 * missing; when backends come back they regain in the order in which they were granted. {@link
 * Actions#rateChanged} reports both.
 *
 * <p><b>Using.</b> There is one token bucket for the complete capacity (rate C, burst of a window W
 * of it), and one for each reservation in force (its rate, burst of a window of it, full at its
 * start, its total at most). A customer with a reservation uses its own bucket and takes the units
 * from the shared one too. Beyond its reservation it is like all others: it needs units in the
 * shared bucket above what is withheld.
 *
 * <p>Withheld is what the buckets of wanted reservations hold; a reservation is wanted if its
 * customer made a request within the last W. So nobody else uses a reserved unit that is wanted,
 * and one that isn't serves others. A customer that begins to make requests finds its own bucket
 * full: the shared one may fall below zero by what reserved buckets hold, and others wait until it
 * has refilled. In any time t all together are admitted C (t + W) plus at most W of each
 * reservation's rate.
 *
 * <p>Units are thousandths, a rate is units a second, instants are nanoseconds of a clock that
 * never goes back.
 */
public final class ReservationsDecider {
  /** Notified of changes to reservations. */
  public interface Actions {
    /** A granted reservation gets this rate from now on instead of the one that was granted. */
    void rateChanged(Reservation reservation, double ratePerS);
  }

  /**
   * Quota that is reserved.
   *
   * @param id unique
   * @param ratePerS over all front doors together
   * @param units in all, over all front doors together
   */
  public record Reservation(
      long id, long customer, double ratePerS, double units, long from, long to) {
    /** Checks the values. */
    public Reservation {
      if (!(ratePerS > 0 && units > 0) || to <= from) {
        throw new IllegalArgumentException(
            "Reservation: rate and units must be above 0, and its end behind its begin");
      }
    }
  }

  /** The outcome of a request for a reservation. */
  public enum ReservationResult {
    /** Granted, or changed as requested. */
    GRANTED,
    /** The same reservation was granted before. */
    DUPLICATE,
    /** It doesn't fit beside those granted, or its id is taken by another one. */
    EXCEEDS_CAPACITY,
    /** Its end is in the past. */
    EXPIRED,
    /** As many are granted as can be kept. */
    TOO_MANY,
    /** No reservation of this id is granted. */
    UNKNOWN_RESERVATION
  }

  /**
   * Settings.
   *
   * @param share fraction of the capacity that may be reserved, above 0, at most 1
   * @param windowNs the window W, in nanoseconds
   * @param fleet how many front doors the requests of these customers come in through, evenly
   * @param maxReservations how many may be granted at a time
   */
  public record Terms(double share, long windowNs, int fleet, int maxReservations) {
    /** Checks the values. */
    public Terms {
      if (!(share > 0 && share <= 1) || windowNs < 1 || fleet < 1 || maxReservations < 1) {
        throw new IllegalArgumentException("Terms: out of range");
      }
    }
  }

  private static final double SECOND = 1e9;

  private static final class GrantedReservation {
    Reservation reservation;

    /** Its present rate over all front doors together. */
    double ratePerS;

    double store;
    double left;
    long filledAt;
    long askedAt = Long.MIN_VALUE / 2;
    boolean started;

    GrantedReservation(Reservation reservation) {
      this.reservation = reservation;
      ratePerS = reservation.ratePerS();
    }
  }

  private final Terms terms;
  private final Actions actions;

  /** In the order in which they were granted. */
  private final Map<Long, GrantedReservation> granted = new LinkedHashMap<>();

  /** Capacity of all backends together, units a second. */
  private double capacity;

  private double sharedTokens;
  private long filledAt;

  /** No reservation is granted yet; {@code capacity} in units a second. */
  public ReservationsDecider(Terms terms, double capacity, long now, Actions actions) {
    this.terms = terms;
    this.actions = actions;
    this.capacity = capacity;
    sharedTokens = capacity / terms.fleet() * terms.windowNs() / SECOND;
    filledAt = now;
  }

  /** Grants a reservation if it fits. */
  public ReservationResult reserve(long now, Reservation request) {
    GrantedReservation there = granted.get(request.id());
    if (there != null) {
      return there.reservation.equals(request)
          ? ReservationResult.DUPLICATE
          : ReservationResult.EXCEEDS_CAPACITY;
    }
    settle(now);
    if (request.to() <= now) {
      return ReservationResult.EXPIRED;
    }
    if (granted.size() >= terms.maxReservations()) {
      return ReservationResult.TOO_MANY;
    }
    if (!fits(request, null)) {
      return ReservationResult.EXCEEDS_CAPACITY;
    }
    granted.put(request.id(), new GrantedReservation(request));
    settle(now);
    return ReservationResult.GRANTED;
  }

  /**
   * Moves the end of a granted reservation: to a later instant if that fits, to an earlier one, not
   * before now, always.
   */
  public ReservationResult extend(long now, long id, long to) {
    GrantedReservation existing = granted.get(id);
    if (existing == null) {
      return ReservationResult.UNKNOWN_RESERVATION;
    }
    settle(now);
    Reservation was = existing.reservation;
    if (to <= now || to <= was.from()) {
      return ReservationResult.EXPIRED;
    }
    Reservation request =
        new Reservation(id, was.customer(), was.ratePerS(), was.units(), was.from(), to);
    if (to > was.to() && !fits(request, existing)) {
      return ReservationResult.EXCEEDS_CAPACITY;
    }
    existing.reservation = request;
    return ReservationResult.GRANTED;
  }

  /** Ends a reservation; what it didn't use serves others from now on. */
  public ReservationResult cancel(long now, long id) {
    settle(now);
    if (granted.remove(id) == null) {
      return ReservationResult.UNKNOWN_RESERVATION;
    }
    adjust();
    return ReservationResult.GRANTED;
  }

  /** Whether it fits at each of its instants; the sum grows only where a reservation starts. */
  private boolean fits(Reservation request, GrantedReservation except) {
    List<Long> begins = new ArrayList<>(List.of(request.from()));
    granted.values().forEach(each -> begins.add(each.reservation.from()));
    for (long at : begins) {
      if (at < request.from() || at >= request.to()) {
        continue;
      }
      double sum = request.ratePerS();
      for (GrantedReservation each : granted.values()) {
        sum +=
            each != except && each.reservation.from() <= at && at < each.reservation.to()
                ? each.reservation.ratePerS()
                : 0;
      }
      if (sum > terms.share() * capacity) {
        return false;
      }
    }
    return true;
  }

  /** Backends left or came: the present capacity of all together, units a second. */
  public void capacity(long now, double unitsPerS) {
    settle(now);
    capacity = unitsPerS;
    adjust();
  }

  /**
   * Distributes the capacity to the reservations that have started, in the order in which they were
   * granted.
   */
  private void adjust() {
    double left = terms.share() * capacity;
    for (GrantedReservation each : granted.values()) {
      if (!each.started) {
        continue;
      }
      double rate = Math.max(0, Math.min(each.reservation.ratePerS(), left));
      left -= rate;
      if (rate != each.ratePerS) {
        each.ratePerS = rate;
        each.store = Math.min(each.store, maxTokens(each));
        actions.rateChanged(each.reservation, rate);
      }
    }
  }

  /** Uses units for a customer if the reservations permit it; returns whether they do. */
  public boolean use(long now, long customer, double units) {
    settle(now);
    for (GrantedReservation each : granted.values()) {
      if (each.started && each.reservation.customer() == customer) {
        each.askedAt = now;
        if (each.store >= units) {
          each.store -= units;
          each.left -= units;
          sharedTokens -= units;
          return true;
        }
      }
    }
    double withheld = 0;
    for (GrantedReservation each : granted.values()) {
      boolean wanted = each.started && now - each.askedAt < terms.windowNs();
      withheld += wanted && each.reservation.customer() != customer ? each.store : 0;
    }
    if (sharedTokens - withheld < units) {
      return false;
    }
    sharedTokens -= units;
    return true;
  }

  /** Returns the units of an accepted request that reached no backend completely. */
  public void refund(long now, double units) {
    settle(now);
    sharedTokens =
        Math.min(capacity / terms.fleet() * terms.windowNs() / SECOND, sharedTokens + units);
  }

  private double maxTokens(GrantedReservation existing) {
    return Math.min(existing.left, existing.ratePerS / terms.fleet() * terms.windowNs() / SECOND);
  }

  /** Ends and starts the reservations that are due, and refills the buckets. */
  private void settle(long now) {
    boolean changed =
        granted
            .values()
            .removeIf(each -> each.reservation.to() <= now || each.started && each.left <= 0);
    for (GrantedReservation each : granted.values()) {
      if (!each.started && each.reservation.from() <= now) {
        each.started = true;
        each.left = each.reservation.units() / terms.fleet();
        each.store = maxTokens(each);
        each.filledAt = now;
        changed = true;
      }
    }
    if (changed) {
      adjust();
    }
    if (now - filledAt > 0) {
      double rate = capacity / terms.fleet();
      sharedTokens =
          Math.min(
              rate * terms.windowNs() / SECOND, sharedTokens + rate * (now - filledAt) / SECOND);
      for (GrantedReservation each : granted.values()) {
        if (each.started) {
          each.store =
              Math.min(
                  maxTokens(each),
                  each.store + each.ratePerS / terms.fleet() * (now - each.filledAt) / SECOND);
          each.filledAt = now;
        }
      }
      filledAt = now;
    }
  }

  /** When a reservation starts or ends next, in nanoseconds; {@link Long#MAX_VALUE} for never. */
  public long nextDue(long now) {
    long due = Long.MAX_VALUE;
    for (GrantedReservation each : granted.values()) {
      Reservation of = each.reservation;
      due = Math.min(due, of.from() > now ? of.from() : of.to() > now ? of.to() : Long.MAX_VALUE);
    }
    return due;
  }

  /** The granted reservations in their order, with their present rates. */
  public Map<Reservation, Double> granted(long now) {
    settle(now);
    Map<Reservation, Double> all = new LinkedHashMap<>();
    granted.values().forEach(each -> all.put(each.reservation, each.ratePerS));
    return all;
  }
}
