package nettletrail.control;

import java.util.ArrayList;
import java.util.List;
import nettletrail.control.registry.BackendOrdering;
import nettletrail.control.registry.BackendRegistry;
import nettletrail.control.registry.BackendRegistry.Change;
import nettletrail.control.registry.Feed;
import nettletrail.control.registry.RegistryAction;
import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendFreshness;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.RegistryDigest;

/**
 * Takes reports of backends, from them and from other processes, into the registry, and publishes
 * what they change. Not thread-safe; instants are steady nanoseconds.
 *
 * <p>A call without a change is answered at once and reaches other core processes only in the
 * periodic digests. A change is replicated to them and appended to the feed. A process that reaches
 * nobody rejects calls, so that the backend calls another one before the others let it expire.
 */
final class BackendManager {
  private static final long DIGEST_INTERVAL_NANOS = 700_000_000L;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final String DELETE = "DELETE";

  private final String address;
  private final BackendRegistry registry;
  private final Feed feed;
  private final ReplicationManager replication;
  private long nextDigestAt;

  BackendManager(
      CoreRegistrySettings settings,
      BackendRegistry registry,
      Feed feed,
      ReplicationManager replication,
      long now) {
    this.address = settings.address();
    this.registry = registry;
    this.feed = feed;
    this.replication = replication;
    this.nextDigestAt = now + DIGEST_INTERVAL_NANOS;
  }

  /** A backend's call; returns its answer and what is due after it. */
  List<RegistryAction> call(long call, String method, Backend record, long now) {
    Backend report = method.equals(DELETE) ? tombstone(record) : record;
    Change change = registry.recordCall(report, now);
    Backend newest = registry.get(report.getId());
    boolean withdrawn = BackendOrdering.isWithdrawn(report);
    int status = replication.isIsolated(now) ? UNAVAILABLE : OK;
    if (!withdrawn && change != Change.CHANGED) {
      return List.of(new AnswerBackend(call, status));
    }
    if (change == Change.CHANGED) {
      replication.publish(newest);
    }
    List<RegistryAction> actions = new ArrayList<>();
    if (withdrawn) {
      replication.acknowledgeWhenReplicated(call, newest, now);
    } else {
      actions.add(new AnswerBackend(call, status));
    }
    actions.addAll(replication.sendDue(now));
    return actions;
  }

  /** Another core process reported a changed backend; it replicates the change itself. */
  void mergeFromPeer(Backend backend, long now) {
    if (registry.merge(backend, now) == Change.CHANGED) {
      replication.follow(registry.get(backend.getId()));
    }
  }

  /** Another core process reported when it last saw a backend. */
  void mergeFromPeer(BackendFreshness freshness, long now) {
    if (registry.mergeFreshness(freshness, now)) {
      feed.append(registry.get(freshness.getId()));
    }
  }

  /** A door reported a draining or deregistered backend that the core may have lost. */
  void mergeFromDoor(Backend backend, long now) {
    boolean withdrawn = BackendOrdering.isWithdrawn(backend);
    if (withdrawn && registry.merge(backend, now) == Change.CHANGED) {
      replication.publish(registry.get(backend.getId()));
    }
  }

  /** Expires backends that no core process has seen for too long. */
  void expire(long now) {
    for (String id : registry.expire(now)) {
      feed.appendExpired(id);
    }
  }

  /** The digests that are due to the other core processes. */
  List<RegistryAction> digestsDue(long now) {
    if (now - nextDigestAt < 0) {
      return List.of();
    }
    nextDigestAt = now + DIGEST_INTERVAL_NANOS;
    List<BackendFreshness> seen = registry.nextDigest(now);
    return seen.isEmpty() ? List.of() : replication.broadcast(new RegistryDigest(address, seen));
  }

  private Backend tombstone(Backend record) {
    Backend known = registry.get(record.getId());
    Backend base = known == null ? record : known;
    return Backend.newBuilder(base)
        .setState(BackendState.GONE)
        .setCallSequence(Math.max(record.getCallSequence(), base.getCallSequence()))
        .build();
  }
}
