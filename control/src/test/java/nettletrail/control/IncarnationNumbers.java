package nettletrail.control;

/** Numbers of processes' lives, far apart as they are when they are drawn at random. */
final class IncarnationNumbers {
  private static final long APART = 1_000_000;

  private long last;

  long next() {
    last += APART;
    return last;
  }
}
