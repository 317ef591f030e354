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
import nettletrail.protocol.BackendState;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;

/**
 * The journal, in memory, of changes of the registry. Offsets count entries from 1; a reader at
 * offset n has read all entries up to n. The feed's id is new for each life of the process. The
 * journal is bounded; a reader that is behind its start gets a snapshot.
 */
public final class Feed {
  private static final int MAX_ENTRIES = 4_096;

  private final String sender;
  private final long id;
  private final Deque<Entry> journal = new ArrayDeque<>();
  private long offset;
  private long lastEndOffset;

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

  /** {@code id}: above 0, and never used by an earlier life of the process. */
  public Feed(String sender, long id) {
    this.sender = sender;
    this.id = id;
  }

  /** Appends a report and returns its offset. */
  public long append(Backend backend) {
    append(new Reported(backend));
    if (backend.getState() != BackendState.READY) {
      lastEndOffset = offset;
    }
    return offset;
  }

  private long append(Entry entry) {
    journal.addLast(entry);
    if (journal.size() > MAX_ENTRIES) {
      journal.removeFirst();
    }
    offset++;
    return offset;
  }

  /** Appends that nobody hears of a backend any more and returns the offset. */
  public long appendExpired(String backendId) {
    return append(new Expired(backendId));
  }

  /** The feed's id. */
  public long id() {
    return id;
  }

  /** The offset of the newest entry, 0 for none. */
  public long offset() {
    return offset;
  }

  /** The offset of the newest entry that says that a backend closes or is gone, 0 for none. */
  public long lastEndOffset() {
    return lastEndOffset;
  }

  /** Whether a reader that stands at this offset of that feed can be brought up by events. */
  public boolean holdsAfter(long feed, long readOffset) {
    return feed == id && readOffset <= offset && readOffset >= offset - journal.size();
  }

  /**
   * All entries after {@code fromOffset}, of which {@link #holdsAfter} has to be true; the last one
   * for each backend.
   */
  public FeedEvents eventsAfter(long fromOffset) {
    Map<String, Backend> reported = new LinkedHashMap<>();
    Set<String> expired = new LinkedHashSet<>();
    long position = offset - journal.size();
    for (Entry entry : journal) {
      position++;
      if (position <= fromOffset) {
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
        offset,
        new ArrayList<>(reported.values()),
        new ArrayList<>(expired));
  }

  /** The whole registry at the newest offset. */
  public FeedSnapshot snapshot(List<Backend> contents) {
    return new FeedSnapshot(sender, id, offset, contents);
  }
}
