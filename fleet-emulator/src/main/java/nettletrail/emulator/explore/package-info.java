/**
 * Exhaustive exploration of the configuration shard within stated bounds: every order of
 * deliveries, writes to disk, passing of time and losses, over the real decider.
 */
package nettletrail.emulator.explore;
