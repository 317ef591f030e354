package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendFreshness;
import nettletrail.protocol.BackendState;

/**
 * All backends that this core process knows, each with the instant at which any core process last
 * saw it. Not thread-safe; instants are steady nanoseconds.
 *
 * <p>A deregistered backend, and a draining one that has expired, stays as a tombstone for a while,
 * bounded in count and age, so that a late report doesn't register it again. A process that starts
 * restores its tombstones and draining backends from its disk. A backend that no core process has
 * seen for the expiry time of {@link SelfPreservation} is marked expired; it is live again as soon
 * as it is seen.
 */
public final class BackendRegistry {
  private static final long MILLIS = 1_000_000L;
  private static final int MAX_REMEMBERED = 2_048;
  private static final long TOMBSTONE_AGE_NANOS = 600_000 * MILLIS;

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final SelfPreservation selfPreservation;

  /** One backend; {@code lastCallAt} is 0 unless it has called this process. */
  private static final class Entry {
    Backend backend;
    long lastSeenAt;
    long lastCallAt;
    boolean calledSinceDigest;
    boolean expired;

    /** Read from the disk; no process has seen the backend since. */
    boolean restored;

    boolean isTombstone() {
      return BackendOrdering.isDeregistered(backend);
    }

    /** It only stands for a withdrawal, so that a late call doesn't undo that. */
    boolean isRemembered() {
      return isTombstone() || expired && backend.getState() == BackendState.CLOSING;
    }

    boolean isLive() {
      return !expired && !restored && !isTombstone();
    }
  }

  /** How a report changed the registry. */
  public enum Change {
    /** An older or equal report. */
    NONE,
    /** A newer report with the same content: only its call sequence changed. */
    REFRESHED,
    /** New content, or a backend that was expired is back. */
    CHANGED
  }

  /** {@code heartbeatMs}: the interval of backends' heartbeats, in milliseconds. */
  public BackendRegistry(long heartbeatMs, long now) {
    this.selfPreservation = new SelfPreservation(heartbeatMs * MILLIS, now);
  }

  /** Takes over the withdrawn backends that the disk remembers, as if they were reported now. */
  public void restore(List<Backend> withdrawals, long now) {
    for (Backend backend : withdrawals) {
      merge(backend, now);
      entries.get(backend.getId()).restored = true;
    }
  }

  /** A backend called this process; an old or repeated call is a sign of life too. */
  public Change recordCall(Backend backend, long now) {
    Change change = merge(backend, now);
    Entry entry = entries.get(backend.getId());
    entry.restored = false;
    entry.lastSeenAt = now;
    entry.lastCallAt = now;
    entry.calledSinceDigest = true;
    if (entry.expired) {
      entry.expired = false;
      return Change.CHANGED;
    }
    return change;
  }

  /** Another process reported a backend. Only a newer report is a sign of life. */
  public Change merge(Backend backend, long now) {
    Entry entry = entries.computeIfAbsent(backend.getId(), id -> new Entry());
    if (!BackendOrdering.replaces(backend, entry.backend)) {
      return Change.NONE;
    }
    boolean same = entry.backend != null && BackendOrdering.sameContent(backend, entry.backend);
    boolean wasExpired = entry.expired;
    boolean wasWithdrawn = entry.backend != null && BackendOrdering.isWithdrawn(entry.backend);
    if (BackendOrdering.isWithdrawn(backend) && !wasWithdrawn) {
      moveToEnd(backend.getId());
    }
    entry.backend = backend;
    entry.lastSeenAt = now;
    entry.expired = false;
    entry.restored = false;
    return same && !wasExpired ? Change.REFRESHED : Change.CHANGED;
  }

  /** When there are too many tombstones, those of the earliest withdrawals are dropped. */
  private void moveToEnd(String id) {
    entries.put(id, entries.remove(id));
  }

  /**
   * Another core process saw this backend {@code ageMs} ago. Returns whether it was expired here
   * and is live again by that.
   */
  public boolean mergeFreshness(BackendFreshness freshness, long now) {
    Entry entry = entries.get(freshness.getId());
    if (entry == null || entry.isTombstone()) {
      return false;
    }
    entry.restored = false;
    long seenAt = now - freshness.getAgeMs() * MILLIS;
    entry.lastSeenAt = Math.max(entry.lastSeenAt, seenAt);
    boolean back = entry.expired && now - entry.lastSeenAt < selfPreservation.expiryNanos();
    if (back) {
      entry.expired = false;
    }
    return back;
  }

  /** The backends that called this process since the last digest, with the ages of their calls. */
  public List<BackendFreshness> nextDigest(long now) {
    List<BackendFreshness> digest = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.calledSinceDigest && !entry.isTombstone()) {
        entry.calledSinceDigest = false;
        long ageMs = (now - entry.lastCallAt) / MILLIS;
        digest.add(
            new BackendFreshness(entry.backend.getId(), entry.backend.getCallSequence(), ageMs));
      }
    }
    return digest;
  }

  /** A source of reports was lost: the expiry of all backends is counted anew from here. */
  public void restartExpiry(long now) {
    selfPreservation.restart(now);
  }

  /** Marks expired backends and returns their ids; drops old tombstones. */
  public List<String> expire(long now) {
    updateContact(now);
    List<String> expired = new ArrayList<>();
    int remembered = 0;
    for (Entry entry : entries.values()) {
      if (!entry.isTombstone()
          && !entry.expired
          && selfPreservation.isExpired(entry.lastSeenAt, now)) {
        entry.expired = true;
        expired.add(entry.backend.getId());
      }
      remembered += entry.isRemembered() ? 1 : 0;
    }
    dropOld(remembered, now);
    return expired;
  }

  /** The newest report of a backend, or null if it is unknown. */
  public Backend get(String id) {
    Entry entry = entries.get(id);
    return entry == null ? null : entry.backend;
  }

  /** The records of a snapshot for doors: live backends and tombstones, not the expired ones. */
  public List<Backend> contents() {
    List<Backend> contents = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      if (!entry.expired) {
        contents.add(entry.backend);
      }
    }
    return contents;
  }

  /**
   * The contents and, after them, expired backends that were draining: a process that never knew
   * them would take a late call for that of a ready backend.
   */
  public List<Backend> contentsForPeers() {
    List<Backend> contents = contents();
    for (Entry entry : entries.values()) {
      if (entry.expired && entry.backend.getState() == BackendState.CLOSING) {
        contents.add(entry.backend);
      }
    }
    return contents;
  }

  /** The draining and deregistered backends, also those of them that have expired. */
  public List<Backend> withdrawals() {
    List<Backend> withdrawals = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (BackendOrdering.isWithdrawn(entry.backend)) {
        withdrawals.add(entry.backend);
      }
    }
    return List.copyOf(withdrawals);
  }

  /** All known backends, with tombstones and expired ones, for operators. */
  public List<BackendStatus> status(long now) {
    return entries.values().stream()
        .map(
            entry ->
                new BackendStatus(entry.backend, (now - entry.lastSeenAt) / MILLIS, entry.expired))
        .toList();
  }

  private void updateContact(long now) {
    int live = 0;
    int inContact = 0;
    for (Entry entry : entries.values()) {
      if (entry.isLive()) {
        live++;
        inContact += selfPreservation.isInContact(entry.lastSeenAt, now) ? 1 : 0;
      }
    }
    selfPreservation.update(inContact, live, now);
  }

  /** Expired entries are dropped at the age of tombstones too. */
  private void dropOld(int remembered, long now) {
    int surplus = remembered - MAX_REMEMBERED;
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      Entry entry = iterator.next();
      boolean old = now - entry.lastSeenAt > TOMBSTONE_AGE_NANOS;
      if (entry.isRemembered() && (surplus > 0 || old)) {
        iterator.remove();
        surplus--;
      } else if (entry.expired && old) {
        iterator.remove();
      }
    }
  }
}
