package nettletrail.emulator.explore;

import java.util.Set;

/**
 * The faults that are active while a round is played.
 *
 * @param isolated replicas that no message reaches and no message leaves
 * @param stalled replicas whose disks finish no write
 * @param deliveries how many messages arrive; the rest is lost
 */
record RoundFaults(Set<SimulatedReplica> isolated, Set<SimulatedReplica> stalled, int deliveries) {
  /** All messages of a round arrive. */
  static final int UNLIMITED = Integer.MAX_VALUE;

  static final RoundFaults NONE = new RoundFaults(Set.of(), Set.of(), UNLIMITED);

  /** True if a fault keeps messages between two addresses from arriving. */
  boolean separates(String from, String to) {
    return isolated.stream()
        .map(SimulatedReplica::address)
        .anyMatch(address -> address.equals(from) || address.equals(to));
  }
}
