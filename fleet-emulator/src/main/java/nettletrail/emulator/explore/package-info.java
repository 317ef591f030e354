/**
 * Bounded model checking of the configuration shard: all orders of deliveries, disk writes, passing
 * of time and losses within limits, over the real decider. States must depend on transitions only,
 * never on real time or unseeded randomness.
 *
 * <p>Entry class: {@link nettletrail.emulator.explore.Explorer}.
 */
package nettletrail.emulator.explore;
