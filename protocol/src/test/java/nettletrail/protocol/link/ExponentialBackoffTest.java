package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

class ExponentialBackoffTest {
  private static final int MIN_MILLIS = 50;
  private static final int MAX_MILLIS = 500;

  /** The bounds of the draws that a backoff made, in order; every draw is the largest one. */
  private final List<Integer> bounds = new ArrayList<>();

  private final ExponentialBackoff backoff =
      new ExponentialBackoff(MIN_MILLIS, MAX_MILLIS, new LargestDraws());

  private List<Integer> nextDelays(int count) {
    List<Integer> delays = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      delays.add(backoff.nextDelayMillis());
    }
    return delays;
  }

  @Test
  void boundDoublesFromTheShortestToTheLongestDelay() {
    assertEquals(List.of(50, 100, 200, 400, 500, 500), nextDelays(6));
    assertEquals(List.of(51, 101, 201, 401, 501, 501), bounds);
  }

  @Test
  void resetStartsOverAtTheShortestDelay() {
    nextDelays(3);
    backoff.reset();
    assertEquals(List.of(50, 100), nextDelays(2));
  }

  /** Draws the largest value that is allowed. */
  private final class LargestDraws implements RandomGenerator {
    @Override
    public int nextInt(int origin, int bound) {
      assertEquals(MIN_MILLIS, origin);
      assertTrue(bound > origin);
      bounds.add(bound);
      return bound - 1;
    }

    @Override
    public long nextLong() {
      throw new UnsupportedOperationException("a backoff draws bounded ints only");
    }
  }
}
