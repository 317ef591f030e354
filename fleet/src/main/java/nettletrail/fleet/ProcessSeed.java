package nettletrail.fleet;

import java.util.SplittableRandom;

/**
 * Random numbers that differ between nodes and between the lives of one node. Made from the node's
 * name and both clocks, because the JDK's security providers would be a tenth of a start; nothing
 * here has to be kept secret.
 */
final class ProcessSeed {
  /** Spreads the clock's low bits over all bits. */
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  /** Keeps the node's hash apart from the process id. */
  private static final int NODE_SHIFT = 17;

  private ProcessSeed() {}

  /** A generator for this incarnation of the node. */
  static SplittableRandom random(String node) {
    long clocks =
        System.nanoTime() * GOLDEN_RATIO
            ^ Long.rotateLeft(System.currentTimeMillis(), Integer.SIZE);
    return new SplittableRandom(
        clocks ^ (long) node.hashCode() << NODE_SHIFT ^ ProcessHandle.current().pid());
  }
}
