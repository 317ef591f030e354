package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.FeedEvents;
import org.junit.jupiter.api.Test;

/** Offsets, compaction of events, and the bound of the log. */
class FeedTest {
  private static final long FEED = 7;

  private final Feed feed = new Feed("self", FEED);

  @Test
  void eventsAfterAnOffsetAreTheLastOfEachBackend() {
    feed.append(backend("a", 1));
    feed.append(backend("b", 1));
    feed.append(backend("a", 2));
    feed.appendExpired("b");
    FeedEvents all = feed.eventsAfter(0);
    assertEquals(List.of(backend("a", 2)), all.getBackends());
    assertEquals(List.of("b"), all.getExpired());
    assertEquals(4, all.getOffset());
    feed.append(backend("b", 3));
    FeedEvents rest = feed.eventsAfter(3);
    assertEquals(List.of(backend("b", 3)), rest.getBackends());
    assertTrue(rest.getExpired().isEmpty());
  }

  @Test
  void readerOfAnotherFeedOrBehindTheLogCannotContinue() {
    assertTrue(feed.canContinueFrom(FEED, 0));
    assertFalse(feed.canContinueFrom(0, 0));
    assertFalse(feed.canContinueFrom(FEED, 1));
    for (int index = 0; index < 5_000; index++) {
      feed.append(backend("a", index));
    }
    assertFalse(feed.canContinueFrom(FEED, 0));
    assertTrue(feed.canContinueFrom(FEED, 4_999));
    assertEquals(5_000, feed.snapshot(List.of()).getOffset());
  }

  private static Backend backend(String id, long callSequence) {
    return new Backend(
        id, "s", "a:1", "z", "v", 1, BackendState.READY, 0L, "", List.of(), callSequence);
  }
}
