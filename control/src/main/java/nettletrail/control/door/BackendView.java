package nettletrail.control.door;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.control.registry.BackendOrdering;
import nettletrail.protocol.Backend;

/**
 * All backends as the door sees them, merged over the feeds of all core processes.
 *
 * <p>Of several registrations of a backend the one that wins by {@link BackendOrdering} counts,
 * whichever core process reported it. A backend is removed when it is gone, or when a core process
 * lets it expire and no other core process with a live feed lists it; a core process that is
 * partitioned or has restarted removes nothing by that. A backend that no live feed lists is
 * removed after a while, unless no feed is live.
 *
 * <p>All core processes that acknowledged a deregistration may have lost it since. The view
 * therefore keeps which of them reported it, and tells which deregistrations the others miss.
 *
 * <p>Instants are nanoseconds of the steady clock.
 */
final class BackendView {
  private static final long UNLISTED_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long TOMBSTONE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(600);

  /** Core processes replicate a deregistration within this time; one that lacks it lost it. */
  private static final long DEREGISTRATION_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Delayed registrations arrive within this time; later ones can't undo a deregistration. */
  private static final long DEREGISTRATION_RELEVANCE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final Map<String, KnownBackend> known = new LinkedHashMap<>();
  private final Map<String, List<Backend>> byService = new HashMap<>();
  private final Set<String> liveFeeds = new LinkedHashSet<>();
  private final Set<String> changedServices = new LinkedHashSet<>();
  private long liveSince;

  /** The core processes whose feed is followed without a gap, in the order they became live. */
  List<String> liveFeeds() {
    return List.copyOf(liveFeeds);
  }

  /** The feed of this core process is followed without a gap. */
  void feedLive(String core, long now) {
    if (liveFeeds.isEmpty()) {
      liveSince = now;
    }
    liveFeeds.add(core);
  }

  /** The link to this core process is lost; the backends that it listed stay. */
  void feedLost(String core) {
    liveFeeds.remove(core);
  }

  /** A core process lists this registration. */
  void update(String core, Backend reported, long now) {
    KnownBackend backend = known.computeIfAbsent(reported.getId(), id -> new KnownBackend());
    backend.listed(core, now);
    Backend earlier = backend.registration();
    if (!BackendOrdering.replaces(reported, earlier)) {
      backend.confirmState(core, reported);
      return;
    }
    backend.replace(core, reported, now);
    if (earlier == null ? !BackendOrdering.isDeregistered(reported) : differs(earlier, reported)) {
      serviceChanged(reported);
      if (earlier != null) {
        serviceChanged(earlier);
      }
    }
  }

  /** A core process let this backend expire. */
  void expired(String core, String id) {
    KnownBackend backend = known.get(id);
    if (backend == null || backend.isGone()) {
      return;
    }
    backend.unlisted(core);
    if (!backend.isListedByAnyOf(liveFeeds)) {
      known.remove(id);
      serviceChanged(backend.registration());
    }
  }

  /** A snapshot of a feed that was followed before: what it lacks has expired. */
  void resync(String core, List<Backend> contents, long now) {
    for (String id : updateAll(core, contents, now)) {
      expired(core, id);
    }
  }

  /**
   * A snapshot of a new incarnation of a core process, which starts with an empty memory: what it
   * lacks stays, and what it reported before counts no longer.
   */
  void restart(String core, List<Backend> contents, long now) {
    known.values().forEach(backend -> backend.forgetStateReport(core));
    for (String id : updateAll(core, contents, now)) {
      known.get(id).unlisted(core);
    }
  }

  /** Returns the backends that this core process listed before and lists no longer. */
  private List<String> updateAll(String core, List<Backend> contents, long now) {
    Set<String> listed = new HashSet<>();
    for (Backend backend : contents) {
      listed.add(backend.getId());
      update(core, backend, now);
    }
    List<String> unlisted = new ArrayList<>();
    known.forEach(
        (id, backend) -> {
          if (!listed.contains(id) && backend.isListedBy(core)) {
            unlisted.add(id);
          }
        });
    return unlisted;
  }

  /**
   * The backends that are closing or gone, that the door has known to be so for longer than core
   * processes take to replicate it, and that the present incarnation of this one never reported so.
   */
  List<Backend> deregistrationsMissingFrom(String core, long now) {
    List<Backend> missing = new ArrayList<>();
    for (KnownBackend backend : known.values()) {
      long age = backend.stateAge(now);
      boolean relevant = age > DEREGISTRATION_SPREAD_NANOS && age < DEREGISTRATION_RELEVANCE_NANOS;
      if (relevant && backend.isDeregistered() && !backend.isStateReportedBy(core)) {
        missing.add(backend.registration());
      }
    }
    return missing;
  }

  /** Removes what no live feed has listed for long, and old tombstones. */
  void tick(long now) {
    for (Iterator<KnownBackend> iterator = known.values().iterator(); iterator.hasNext(); ) {
      KnownBackend backend = iterator.next();
      if (backend.isListedByAnyOf(liveFeeds) && !backend.isGone()) {
        backend.stillListed(now);
      } else if (isExpired(backend, now)) {
        iterator.remove();
        serviceChanged(backend.registration());
      }
    }
  }

  private boolean isExpired(KnownBackend backend, long now) {
    long unlistedFor = now - backend.lastListedAt();
    if (backend.isGone()) {
      return unlistedFor > TOMBSTONE_EXPIRY_NANOS;
    }
    boolean feedsAreStable = !liveFeeds.isEmpty() && now - liveSince > UNLISTED_EXPIRY_NANOS;
    return feedsAreStable && unlistedFor > UNLISTED_EXPIRY_NANOS;
  }

  /** An immutable list of a service's backends that aren't gone: the ready and the closing ones. */
  List<Backend> backends(String service) {
    return byService.computeIfAbsent(service, this::collect);
  }

  private List<Backend> collect(String service) {
    List<Backend> backends = new ArrayList<>();
    for (KnownBackend backend : known.values()) {
      if (!backend.isGone() && backend.registration().getService().equals(service)) {
        backends.add(backend.registration());
      }
    }
    return List.copyOf(backends);
  }

  /** The services whose backends changed since the last call, in the order of the changes. */
  List<String> drainChangedServices() {
    List<String> changed = List.copyOf(changedServices);
    changedServices.clear();
    return changed;
  }

  private void serviceChanged(Backend backend) {
    byService.remove(backend.getService());
    changedServices.add(backend.getService());
  }

  private static boolean differs(Backend earlier, Backend later) {
    return !BackendOrdering.sameContent(earlier, later)
        || earlier.getCallSequence() != later.getCallSequence()
            && earlier.getWarmUpLeftMs() != later.getWarmUpLeftMs();
  }
}
