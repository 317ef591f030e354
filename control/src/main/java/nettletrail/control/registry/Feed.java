package nettletrail.control.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.protocol.Backend;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;

/**
 * The change feed of the registry: an in-memory log with offsets, as a partition in Kafka. Offsets
 * count entries from 1; a reader at offset n has read all entries up to n. Each incarnation of the
 * process has a feed of its own, so offsets of two feeds don't compare. The log is bounded; a
 * reader behind its start gets a snapshot. Not thread-safe.
 */
public final class Feed {
  private static final int MAX_ENTRIES = 4_096;

  private final String sender;
  private final long id;
  private final Deque<Entry> log = new ArrayDeque<>();
  private long endOffset;
  private long lastWithdrawalOffset;

  private sealed interface Entry {
    String backendId();
  }

  private record Reported(Backend backend) implements Entry {
    @Override
    public String backendId() {
      return backend.getId();
    }
  }

  private record Expired(String backendId) implements Entry {}

  /**
   * An empty feed.
   *
   * @param sender this process's address
   * @param id above 0, and never used by another incarnation of the process
   */
  public Feed(String sender, long id) {
    this.sender = sender;
    this.id = id;
  }

  /** Appends a backend's report. */
  public void append(Backend backend) {
    appendEntry(new Reported(backend));
    if (BackendOrdering.isWithdrawn(backend)) {
      lastWithdrawalOffset = endOffset;
    }
  }

  /** Appends that a backend expired. */
  public void appendExpired(String backendId) {
    appendEntry(new Expired(backendId));
  }

  private void appendEntry(Entry entry) {
    log.addLast(entry);
    if (log.size() > MAX_ENTRIES) {
      log.removeFirst();
    }
    endOffset++;
  }

  /** The feed's id. */
  public long id() {
    return id;
  }

  /** The offset of the newest entry, 0 for none. */
  public long endOffset() {
    return endOffset;
  }

  /** The offset of the newest report of a draining or deregistered backend, 0 for none. */
  public long lastWithdrawalOffset() {
    return lastWithdrawalOffset;
  }

  /** Whether a reader at this offset of that feed can continue with events from the log. */
  public boolean canContinueFrom(long feed, long readOffset) {
    return feed == id && readOffset <= endOffset && readOffset >= endOffset - log.size();
  }

  /**
   * The entries after {@code fromOffset}, compacted to the last one of each backend. Requires
   * {@link #canContinueFrom}.
   */
  public FeedEvents eventsAfter(long fromOffset) {
    Map<String, Backend> reported = new LinkedHashMap<>();
    Set<String> expired = new LinkedHashSet<>();
    long offset = endOffset - log.size();
    for (Entry entry : log) {
      offset++;
      if (offset <= fromOffset) {
        continue;
      }
      reported.remove(entry.backendId());
      expired.remove(entry.backendId());
      if (entry instanceof Reported report) {
        reported.put(entry.backendId(), report.backend());
      } else {
        expired.add(entry.backendId());
      }
    }
    return new FeedEvents(
        sender,
        id,
        fromOffset,
        endOffset,
        new ArrayList<>(reported.values()),
        new ArrayList<>(expired));
  }

  /** A snapshot of these records at the newest offset. */
  public FeedSnapshot snapshot(List<Backend> contents) {
    return new FeedSnapshot(sender, id, endOffset, contents);
  }
}
