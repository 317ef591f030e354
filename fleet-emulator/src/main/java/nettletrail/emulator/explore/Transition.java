package nettletrail.emulator.explore;

/** One thing that can happen next in an {@link ExploredSystem}. */
sealed interface Transition {
  /** A message arrives that is the first on its link; by its position among those in flight. */
  record Deliver(int position) implements Transition {}

  /** The oldest write of a replica is completed. */
  record Store(int replica) implements Transition {}

  /** An operator submits a change to a replica. */
  record Submit(int change, int replica) implements Transition {}

  /** Time passes at all replicas. */
  record Pass(TimeStep step) implements Transition {}

  /** A replica's timers run. */
  record Tick(int replica) implements Transition {}

  /**
   * All replicas run for long enough that leases expire and an owner is elected. One replica may be
   * partitioned from the others, and messages may stop arriving after some of them; the rest is
   * lost.
   *
   * @param isolated the partitioned replica; {@link #NONE} if there is none
   * @param deliveries how many messages arrive
   */
  record Round(int isolated, int deliveries) implements Transition {
    /** No replica is partitioned. */
    static final int NONE = -1;
  }

  /** A replica loses power and starts again. */
  record Crash(int replica) implements Transition {}

  /** A replica loses its disk and starts again as another member. */
  record Wipe(int replica) implements Transition {}

  /** All replicas lose power and start again. */
  record CrashAll() implements Transition {}

  /**
   * A replica is removed for good and an empty one at another address joins.
   *
   * @param planned whether it is shut down gracefully and gives its leases back
   */
  record Replace(int replica, boolean planned) implements Transition {}

  /** An empty machine at another address starts, as the successor of one that is to leave. */
  record Add() implements Transition {}

  /** A machine shuts down gracefully for good; the one that was added takes its position. */
  record Leave(int replica) implements Transition {}

  /** As {@link Round}, but the disk of one replica finishes no write. */
  record StalledRound(int replica) implements Transition {}

  /** How much time passes at once. */
  enum TimeStep {
    /** Heartbeats are due. */
    HEARTBEAT,
    /** All leases have run out, and elections are due. */
    LEASE
  }
}
