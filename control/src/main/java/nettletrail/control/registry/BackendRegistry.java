package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendFreshness;
import nettletrail.protocol.BackendState;

/**
 * All backends that this core process knows, each with the time at which any core process last
 * heard of it.
 *
 * <p>Deleted backends stay as tombstones for a while, bounded in count and age, so that a late
 * report doesn't bring them back. A backend that nobody heard of for the expiry time is marked
 * expired; it is live again as soon as it is heard. Expiry needs evidence that hearing works: it is
 * counted from the time since which a part of the live backends was heard all along, or, for a
 * longer time, since which any was. So a process that just started, or a core that was cut off as a
 * whole, expires nobody in a wave. Times are steady nanoseconds.
 */
public final class BackendRegistry {
  private static final long MILLIS = 1_000_000L;
  private static final int MAX_TOMBSTONES = 2_048;
  private static final long TOMBSTONE_AGE = 600_000 * MILLIS;
  private static final long EXPIRY_EXTRA = 1_000 * MILLIS;
  private static final int EXPIRY_HEARTBEATS = 4;

  /** How long a backend stays that isn't heard, while most others aren't heard either. */
  private static final long EXPIRY_AMONG_FEW = 20_000 * MILLIS;

  /**
   * Hearing works well while one in so many live backends is heard in {@link #HEARING_HEARTBEATS}.
   */
  private static final int HEARING_PART = 3;

  private static final int HEARING_HEARTBEATS = 2;

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final long heartbeat;
  private long partHeardSince;
  private long anyHeardSince;

  /**
   * One backend; {@code directlyHeardAt} is 0 unless it called this process since the last digest.
   */
  private static final class Entry {
    Backend backend;
    long lastHeardAt;
    boolean heardSinceDigest;
    long directlyHeardAt;
    boolean expired;
  }

  /** How a report changed the registry. */
  public enum Change {
    /** An older or equal report. */
    NONE,
    /** Newer, but it says the same: only its call sequence moved. */
    REFRESHED,
    /** New content, or a backend that was expired is back. */
    CHANGED
  }

  /** {@code heartbeatMs}: how often backends call, in milliseconds. */
  public BackendRegistry(long heartbeatMs, long now) {
    this.heartbeat = heartbeatMs * MILLIS;
    this.partHeardSince = now;
    this.anyHeardSince = now;
  }

  /** A backend called this process; an old or repeated call shows as well that it lives. */
  public Change heardDirectly(Backend backend, long now) {
    Change change = enter(backend, now);
    Entry entry = entries.get(backend.getId());
    entry.lastHeardAt = now;
    entry.directlyHeardAt = now;
    entry.heardSinceDigest = true;
    if (entry.expired) {
      entry.expired = false;
      return Change.CHANGED;
    }
    return change;
  }

  /** Another core process reported a backend. Only a report that is news shows that it lives. */
  public Change enter(Backend backend, long now) {
    Entry entry = entries.computeIfAbsent(backend.getId(), id -> new Entry());
    if (!BackendOrdering.replaces(backend, entry.backend)) {
      return Change.NONE;
    }
    boolean same = entry.backend != null && BackendOrdering.sameContent(backend, entry.backend);
    boolean wasExpired = entry.expired;
    entry.backend = backend;
    entry.lastHeardAt = now;
    entry.expired = false;
    return same && !wasExpired ? Change.REFRESHED : Change.CHANGED;
  }

  /**
   * Another core process heard of this backend {@code ageMs} ago. Returns whether it was expired
   * here and is back by that.
   */
  public boolean heardElsewhere(BackendFreshness freshness, long now) {
    Entry entry = entries.get(freshness.getId());
    if (entry == null || BackendOrdering.isGone(entry.backend)) {
      return false;
    }
    long heardAt = now - freshness.getAgeMs() * MILLIS;
    entry.lastHeardAt = Math.max(entry.lastHeardAt, heardAt);
    boolean back = entry.expired && now - entry.lastHeardAt < expiry();
    if (back) {
      entry.expired = false;
    }
    return back;
  }

  /**
   * The backends that called this process since the last time this was asked, with the ages of
   * their calls.
   */
  public List<BackendFreshness> takeDigest(long now) {
    List<BackendFreshness> digest = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.heardSinceDigest && !BackendOrdering.isGone(entry.backend)) {
        entry.heardSinceDigest = false;
        long ageMs = (now - entry.directlyHeardAt) / MILLIS;
        digest.add(
            new BackendFreshness(entry.backend.getId(), entry.backend.getCallSequence(), ageMs));
      }
    }
    return digest;
  }

  /** The paths on which backends are heard have changed: expiry is counted anew from here. */
  public void hearingDisturbed(long now) {
    partHeardSince = now;
    anyHeardSince = now;
  }

  /**
   * Marks and returns the ids of backends that nobody heard of for too long; drops old tombstones.
   */
  public List<String> expire(long now) {
    followHearing(now);
    List<String> expired = new ArrayList<>();
    int tombstones = 0;
    for (Entry entry : entries.values()) {
      if (BackendOrdering.isGone(entry.backend)) {
        tombstones++;
      } else if (!entry.expired && isLost(entry, now)) {
        entry.expired = true;
        expired.add(entry.backend.getId());
      }
    }
    dropOld(tombstones, now);
    return expired;
  }

  /** The report held for an id, or null. */
  public Backend get(String id) {
    Entry entry = entries.get(id);
    return entry == null ? null : entry.backend;
  }

  /**
   * Everything that a new reader has to know: live backends and tombstones, without the expired
   * ones.
   */
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
   * The contents and those expired backends that were closing: a process that never knew them would
   * take a late call for that of a ready backend.
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

  /** All backends that are known, with tombstones and expired ones, for operators. */
  public List<BackendStatus> status(long now) {
    return entries.values().stream()
        .map(
            entry ->
                new BackendStatus(entry.backend, (now - entry.lastHeardAt) / MILLIS, entry.expired))
        .toList();
  }

  private void followHearing(long now) {
    int live = 0;
    int heard = 0;
    for (Entry entry : entries.values()) {
      if (!entry.expired && !BackendOrdering.isGone(entry.backend)) {
        live++;
        heard += now - entry.lastHeardAt <= HEARING_HEARTBEATS * heartbeat ? 1 : 0;
      }
    }
    if (heard == 0) {
      anyHeardSince = now;
    }
    if (heard == 0 || heard * HEARING_PART < live) {
      partHeardSince = now;
    }
  }

  private boolean isLost(Entry entry, long now) {
    return now - Math.max(entry.lastHeardAt, partHeardSince) > expiry()
        || now - Math.max(entry.lastHeardAt, anyHeardSince) > EXPIRY_AMONG_FEW;
  }

  private long expiry() {
    return EXPIRY_HEARTBEATS * heartbeat + EXPIRY_EXTRA;
  }

  /** Expired entries leave with the tombstones' age too; nobody asks for them any more. */
  private void dropOld(int tombstones, long now) {
    int surplus = tombstones - MAX_TOMBSTONES;
    Collection<Entry> all = entries.values();
    for (Iterator<Entry> iterator = all.iterator(); iterator.hasNext(); ) {
      Entry entry = iterator.next();
      boolean gone = BackendOrdering.isGone(entry.backend);
      boolean old = now - entry.lastHeardAt > TOMBSTONE_AGE;
      if (gone && (surplus > 0 || old)) {
        iterator.remove();
        surplus--;
      } else if (entry.expired && old) {
        iterator.remove();
      }
    }
  }
}
