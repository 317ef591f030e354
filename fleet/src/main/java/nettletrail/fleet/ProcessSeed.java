package nettletrail.fleet;

import java.util.SplittableRandom;

/**
 * Random numbers that differ between nodes and between the lives of one node. Made from the node's name and both clocks, because
 * the JDK's security providers would be a tenth of a start; nothing here has to be kept secret.
 */
final class ProcessSeed {
  private ProcessSeed() {}

  /** A generator for this life of the node. */
  static SplittableRandom random(String node) {
    long clocks = System.nanoTime() * 0x9E3779B97F4A7C15L ^ Long.rotateLeft(System.currentTimeMillis(), 32);
    return new SplittableRandom(clocks ^ (long) node.hashCode() << 17 ^ ProcessHandle.current().pid());
  }
}
