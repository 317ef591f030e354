package nettletrail.emulator.explore;

/** One thing that can happen next in an {@link ExploredSystem}. */
sealed interface Transition {
  /** A message arrives that is the first on its link; by its position among those in flight. */
  record Deliver(int position) implements Transition {}

  /** The oldest write of a replica's storage thread is done. */
  record Store(int replica) implements Transition {}

  /** An operator sends an order to a replica. */
  record Submit(int order, int replica) implements Transition {}

  /** Time passes, for all. */
  record Pass(TimeStep step) implements Transition {}

  /** A replica does what time has made due. */
  record Tick(int replica) implements Transition {}

  /**
   * Replicas do all that is due for long enough that leases run out and an owner is elected, except
   * that one of them may be cut off and that messages may stop arriving after some of them; what
   * did not arrive is lost.
   *
   * @param cutOff the replica that is cut off; {@link #NOBODY} if there is none
   * @param deliveries how many messages arrive
   */
  record Round(int cutOff, int deliveries) implements Transition {
    /** No replica is cut off. */
    static final int NOBODY = -1;
  }

  /** A replica loses power and starts again. */
  record Crash(int replica) implements Transition {}

  /** A replica loses its disk and starts again as another member. */
  record Wipe(int replica) implements Transition {}

  /** All replicas lose power and start again. */
  record CrashAll() implements Transition {}

  /**
   * A replica leaves for good and an empty one at another address joins.
   *
   * @param planned whether it is told to end, and gives its leases back
   */
  record Replace(int replica, boolean planned) implements Transition {}

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
