package nettletrail.control;

/** Numbers of incarnations, as far apart as those that processes draw at random. */
final class IncarnationNumbers {
  private static final long DISTANCE = 1_000_000;

  private long last;

  long next() {
    last += DISTANCE;
    return last;
  }
}
