package nettletrail.control.registry;

import java.util.Optional;
import org.apache.avro.specific.SpecificRecord;

/**
 * Decides what of the feed is sent to a door now: events where the log reaches back far enough, a
 * snapshot of the registry elsewhere.
 */
final class FeedPublisher {
  /**
   * Least time between two messages with events to one door, so that events in quick succession are
   * batched.
   */
  private static final long BATCHING_INTERVAL_NANOS = 100_000_000L;

  private final Feed feed;
  private final BackendRegistry registry;

  FeedPublisher(Feed feed, BackendRegistry registry) {
    this.feed = feed;
    this.registry = registry;
  }

  /** The message that is due to a door at this position, which is advanced; empty for none. */
  Optional<SpecificRecord> nextMessage(FeedPosition position, long now) {
    if (!feed.canContinueFrom(position.feed(), position.sentOffset())) {
      SpecificRecord snapshot = feed.snapshot(registry.contents());
      position.sent(feed.id(), feed.endOffset(), now);
      return Optional.of(snapshot);
    }
    if (position.sentOffset() < feed.endOffset() && areEventsDue(position, now)) {
      SpecificRecord events = feed.eventsAfter(position.sentOffset());
      position.sent(feed.id(), feed.endOffset(), now);
      return Optional.of(events);
    }
    return Optional.empty();
  }

  /** A withdrawn backend must get no more requests, so its event isn't delayed. */
  private boolean areEventsDue(FeedPosition position, long now) {
    boolean hasWithdrawal = position.sentOffset() < feed.lastWithdrawalOffset();
    return hasWithdrawal || position.nothingSentAfter(now - BATCHING_INTERVAL_NANOS);
  }
}
