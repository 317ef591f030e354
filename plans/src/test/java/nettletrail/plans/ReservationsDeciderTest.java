package nettletrail.plans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettletrail.plans.ReservationsDecider.Reservation;
import nettletrail.plans.ReservationsDecider.ReservationResult;
import org.junit.jupiter.api.Test;

/** What is set aside is there when it is wanted, and serves others when it isn't. */
class ReservationsDeciderTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long MS = 1_000_000L;
  private static final double ROUNDING = 1e-6;

  private final List<String> told = new ArrayList<>();
  private final ReservationsDecider decider = make(100, 1);

  private ReservationsDecider make(double capacity, int fleet) {
    return new ReservationsDecider(
        new ReservationsDecider.Terms(0.8, SECOND, fleet, 20),
        capacity,
        0,
        (reservation, rate) -> told.add(reservation.id() + " " + rate));
  }

  private static Reservation wish(long id, long customer, double rate, long fromS, long toS) {
    return new Reservation(id, customer, rate, 1e9, fromS * SECOND, toS * SECOND);
  }

  /**
   * Units that get through of those asked for, each ms of so many seconds: a flood by one customer,
   * another as it likes.
   */
  private double[] play(long fromMs, long toMs, double floodPerS, double wantedPerS) {
    double[] through = new double[2];
    for (long ms = fromMs; ms < toMs; ms++) {
      for (int i = 0; i < floodPerS / 1_000; i++) {
        through[0] += decider.use(ms * MS, 1, 1) ? 1 : 0;
      }
      through[1] +=
          wantedPerS > 0 && ms % (long) (1_000 / wantedPerS) == 0 && decider.use(ms * MS, 2, 1)
              ? 1
              : 0;
    }
    return through;
  }

  @Test
  void noMoreIsPromisedThanTheStatedShare() {
    assertEquals(ReservationResult.GRANTED, decider.reserve(0, wish(1, 2, 50, 10, 20)));
    assertEquals(ReservationResult.DUPLICATE, decider.reserve(0, wish(1, 2, 50, 10, 20)));
    assertEquals(
        ReservationResult.EXCEEDS_CAPACITY, decider.reserve(0, wish(2, 3, 40, 15, 30)), "overlaps");
    assertEquals(ReservationResult.GRANTED, decider.reserve(0, wish(2, 3, 40, 20, 30)));
    assertEquals(ReservationResult.EXCEEDS_CAPACITY, decider.extend(0, 1, 21 * SECOND));
    assertEquals(ReservationResult.GRANTED, decider.extend(0, 1, 18 * SECOND));
    assertEquals(ReservationResult.GRANTED, decider.reserve(0, wish(3, 4, 40, 18, 20)));
    assertEquals(
        ReservationResult.EXCEEDS_CAPACITY,
        decider.reserve(0, wish(4, 5, 31, 5, 40)),
        "80 at once at 10 s");
    assertEquals(ReservationResult.GRANTED, decider.reserve(0, wish(4, 5, 30, 5, 40)));
    assertEquals(ReservationResult.EXPIRED, decider.reserve(9 * SECOND, wish(6, 5, 1, 1, 2)));
    assertEquals(ReservationResult.GRANTED, decider.cancel(0, 4));
    assertEquals(ReservationResult.UNKNOWN_RESERVATION, decider.cancel(0, 4));
  }

  /**
   * Hard case 4: more than half of all is reserved, a third of the nodes leaves, another customer
   * floods.
   */
  @Test
  void aFloodAndLostNodesLeaveWhatWasReserved() {
    decider.reserve(0, wish(1, 2, 52, 5, 15));
    double[] before = play(0, 5_000, 1_000, 0);
    assertTrue(before[0] > 480, before[0] + ": all of it, while nothing is reserved yet");
    decider.capacity(5 * SECOND, 67);
    double[] during = play(5_000, 15_000, 1_000, 50);
    assertTrue(during[1] >= 0.95 * 500, during[1] + " of 500 reserved and asked for");
    assertTrue(during[0] > 100, during[0] + ": what is left goes to others");
    double[] after = play(15_000, 20_000, 1_000, 50);
    assertTrue(
        after[0] > 300, after[0] + ": the reservation's end frees it in the middle of the burst");
  }

  @Test
  void whatIsNotWantedServesOthers() {
    decider.reserve(0, wish(1, 2, 50, 0, 100));
    assertTrue(play(0, 10_000, 1_000, 0)[0] > 980, "all of it");
    assertTrue(
        play(10_000, 20_000, 1_000, 50)[1] >= 0.95 * 500, "and is back when it is wanted, at once");
    assertTrue(play(21_500, 30_000, 1_000, 0)[0] > 800, "and serves others again");
  }

  @Test
  void whoWasGrantedLastLosesFirstAndIsTold() {
    decider.reserve(0, wish(1, 2, 40, 0, 100));
    decider.reserve(0, wish(2, 3, 30, 0, 100));
    decider.capacity(SECOND, 60);
    assertEquals(List.of("2 8.0"), told);
    decider.capacity(SECOND, 40);
    assertEquals(List.of("2 8.0", "1 32.0", "2 0.0"), told);
    decider.capacity(2 * SECOND, 100);
    assertEquals(List.of("1 40.0", "2 30.0"), told.subList(3, 5));
    decider.capacity(3 * SECOND, 75);
    decider.cancel(3 * SECOND, 1);
    assertEquals("2 30.0", told.get(told.size() - 1), "what one gives up, the next gains");
  }

  @Test
  void aTotalIsNotExceededAndUnusedAllowanceEnds() {
    decider.reserve(0, new Reservation(1, 2, 50, 100, 0, 10 * SECOND));
    double used = 0;
    for (long ms = 0; ms < 9_000; ms += 10) {
      play(ms, ms + 10, 1_000, 0);
      used += decider.use(ms * MS, 2, 1) ? 1 : 0;
    }
    assertTrue(used >= 95 && used < 130, used + ": 100 were set aside, more only by chance");
    assertTrue(decider.granted(9 * SECOND).isEmpty(), "all of it is used");
    decider.reserve(9 * SECOND, new Reservation(3, 2, 50, 100, 10 * SECOND, 11 * SECOND));
    assertEquals(1, decider.granted(10 * SECOND).size());
    assertTrue(decider.granted(11 * SECOND).isEmpty(), "its time is over");
  }

  /**
   * Whatever is reserved, cancelled and lost, all together are let have no more than the nodes can
   * do and the stores hold.
   */
  @Property(tries = 300, seed = "20261201")
  void allTogetherStayWithinTheStatedBound(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReservationsDecider any = make(100, 1);
    double let = 0;
    double can = 0;
    double capacity = 100;
    long now = 0;
    for (int i = 0; i < 3_000; i++) {
      long step = random.nextLong(20 * MS);
      now += step;
      can += capacity * step / SECOND;
      switch (random.nextInt(200)) {
        case 0 ->
            any.reserve(
                now,
                new Reservation(
                    i + 1,
                    random.nextInt(5),
                    1 + random.nextInt(60),
                    1 + random.nextInt(300),
                    now + random.nextLong(SECOND),
                    now + SECOND + random.nextLong(5 * SECOND)));
        case 1 -> any.cancel(now, random.nextInt(i + 1));
        case 2 -> any.extend(now, random.nextInt(i + 1), now + random.nextLong(5 * SECOND));
        case 3 -> {
          capacity = 30 + random.nextInt(90);
          any.capacity(now, capacity);
        }
        default -> let += any.use(now, random.nextInt(6), 1) ? 1 : 0;
      }
    }
    assertTrue(let <= can + 120 + 0.8 * 120 + 120 + ROUNDING, let + " of " + can);
    assertFalse(let < 0);
  }
}
