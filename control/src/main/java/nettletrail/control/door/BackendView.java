package nettletrail.control.door;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.control.registry.BackendOrdering;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * All backends as the door sees them, merged over the feeds of all core processes.
 *
 * <p>Of several reports about a backend the one that wins by {@link BackendOrdering} counts,
 * whoever sent it. A backend leaves when it is gone, or when a core process lets it expire that no
 * other linked one holds; a core process that is cut off or has restarted removes nothing by that.
 * What no linked core process holds any more leaves after a while, unless none is linked.
 *
 * <p>That a backend closes or is gone may have been acknowledged by core processes that all lost it
 * since. So the view keeps which of them reported it, and names what the others lack.
 */
final class BackendView {
  private static final long MILLIS = 1_000_000L;
  private static final long UNHELD_FOR = 20_000 * MILLIS;
  private static final long TOMBSTONE_AGE = 600_000 * MILLIS;

  /** Core processes tell each other within this time; what one lacks later, it may have lost. */
  private static final long ENDS_SPREAD_WITHIN = 500 * MILLIS;

  /** Calls of backends don't arrive later than this; afterwards nothing can undo an end. */
  private static final long ENDS_MATTER_FOR = 60_000 * MILLIS;

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, List<Backend>> byService = new HashMap<>();
  private final Set<String> linked = new HashSet<>();
  private final Set<String> changedServices = new HashSet<>();
  private long linkedSince;

  /** One backend; holders are the core processes in whose feed it stands, linked or not. */
  private static final class Entry {
    Backend backend;
    final Set<String> holders = new HashSet<>(4);

    /** The core processes that reported the backend in its present state. */
    final Set<String> stateKnownTo = new HashSet<>(4);

    long heldAt;
    long stateSince;
  }

  /** The core processes whose feed is being followed. */
  Set<String> linked() {
    return Set.copyOf(linked);
  }

  /** The feed of this core process is being followed. */
  void linked(String core, long now) {
    if (linked.isEmpty()) {
      linkedSince = now;
    }
    linked.add(core);
  }

  /** The feed of this core process isn't heard any more; what it holds stays. */
  void unlinked(String core) {
    linked.remove(core);
  }

  /** A core process holds this. */
  void reported(String core, Backend backend, long now) {
    Entry entry = entries.computeIfAbsent(backend.getId(), id -> new Entry());
    entry.holders.add(core);
    entry.heldAt = now;
    if (!BackendOrdering.replaces(backend, entry.backend)) {
      noteStateKnown(entry, core, backend);
      return;
    }
    Backend earlier = entry.backend;
    entry.backend = backend;
    if (earlier == null || earlier.getState() != backend.getState()) {
      entry.stateKnownTo.clear();
      entry.stateSince = now;
    }
    entry.stateKnownTo.add(core);
    if (earlier == null ? !BackendOrdering.isGone(backend) : differs(earlier, backend)) {
      changed(backend);
      if (earlier != null) {
        changed(earlier);
      }
    }
  }

  private static void noteStateKnown(Entry entry, String core, Backend reported) {
    if (reported.getState() == entry.backend.getState()) {
      entry.stateKnownTo.add(core);
    }
  }

  /**
   * The backends that close or are gone, as the door knows for some time, and that this core
   * process never reported so in its present life.
   */
  List<Backend> endsUnknownTo(String core, long now) {
    List<Backend> unknown = new ArrayList<>();
    for (Entry entry : entries.values()) {
      long age = now - entry.stateSince;
      boolean matters = age > ENDS_SPREAD_WITHIN && age < ENDS_MATTER_FOR;
      boolean ends = entry.backend.getState() != BackendState.READY;
      if (ends && matters && !entry.stateKnownTo.contains(core)) {
        unknown.add(entry.backend);
      }
    }
    return unknown;
  }

  /** A core process let this expire. */
  void expired(String core, String id) {
    Entry entry = entries.get(id);
    if (entry == null || BackendOrdering.isGone(entry.backend)) {
      return;
    }
    entry.holders.remove(core);
    if (!heldByLinked(entry)) {
      entries.remove(id);
      changed(entry.backend);
    }
  }

  /**
   * A core process's whole contents. {@code sameIncarnation}: of a feed that was followed before,
   * so what it lacks is expired.
   */
  void snapshot(String core, List<Backend> contents, boolean sameIncarnation, long now) {
    if (!sameIncarnation) {
      entries.values().forEach(entry -> entry.stateKnownTo.remove(core));
    }
    Set<String> ids = new HashSet<>();
    for (Backend backend : contents) {
      ids.add(backend.getId());
      reported(core, backend, now);
    }
    List<String> lacking = new ArrayList<>();
    entries.forEach(
        (id, entry) -> {
          if (!ids.contains(id) && entry.holders.contains(core)) {
            lacking.add(id);
          }
        });
    for (String id : lacking) {
      if (sameIncarnation) {
        expired(core, id);
      } else {
        entries.get(id).holders.remove(core);
      }
    }
  }

  /** Lets go of what no linked core process has held for long, and of old tombstones. */
  void tick(long now) {
    for (Iterator<Entry> iterator = entries.values().iterator(); iterator.hasNext(); ) {
      Entry entry = iterator.next();
      if (heldByLinked(entry) && !BackendOrdering.isGone(entry.backend)) {
        entry.heldAt = now;
      } else if (isOld(entry, now)) {
        iterator.remove();
        changed(entry.backend);
      }
    }
  }

  /** The backends of a service that aren't gone, ready and closing ones. */
  List<Backend> backends(String service) {
    return byService.computeIfAbsent(service, this::collect);
  }

  /** The services whose backends changed since this was asked last. */
  Set<String> takeChangedServices() {
    Set<String> changed = Set.copyOf(changedServices);
    changedServices.clear();
    return changed;
  }

  private boolean isOld(Entry entry, long now) {
    if (BackendOrdering.isGone(entry.backend)) {
      return now - entry.heldAt > TOMBSTONE_AGE;
    }
    boolean coreTalks = !linked.isEmpty() && now - linkedSince > UNHELD_FOR;
    return coreTalks && now - entry.heldAt > UNHELD_FOR;
  }

  private boolean heldByLinked(Entry entry) {
    for (String holder : entry.holders) {
      if (linked.contains(holder)) {
        return true;
      }
    }
    return false;
  }

  private List<Backend> collect(String service) {
    List<Backend> backends = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!BackendOrdering.isGone(entry.backend) && entry.backend.getService().equals(service)) {
        backends.add(entry.backend);
      }
    }
    return List.copyOf(backends);
  }

  private void changed(Backend backend) {
    byService.remove(backend.getService());
    changedServices.add(backend.getService());
  }

  private static boolean differs(Backend earlier, Backend later) {
    return !BackendOrdering.sameContent(earlier, later)
        || earlier.getCallSequence() != later.getCallSequence()
            && earlier.getWarmUpLeftMs() != later.getWarmUpLeftMs();
  }
}
