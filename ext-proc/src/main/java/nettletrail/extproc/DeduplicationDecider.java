package nettletrail.extproc;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides what a decision request gets whose request id was seen before. It enforces that side
 * effects are never repeated, for requests that another process forwards. It keeps one state per
 * id; {@code -} marks what can't happen.
 *
 * <pre>
 *  state              repeated, safe     repeated, unsafe   markForwarded  neverRan       perhapsRan
 *  (unseen)           Accepted           Accepted (1)       -              -              -
 *  AWAITING_DECISION  Superseding (2)    Superseding (2)    FORWARDED      NOT_FORWARDED  -
 *  FORWARDED          Accepted (3)       PERHAPS_RAN        -              NEVER_RAN      PERHAPS_RAN
 *  NOT_FORWARDED      Accepted           Accepted           -              -              -
 *  NEVER_RAN          Accepted           NEVER_RAN (4)      -              -              -
 *  PERHAPS_RAN        Accepted           PERHAPS_RAN        -              -              -
 * </pre>
 *
 * <ol>
 *   <li>If the proxy reports an earlier attempt with this id (an attempt count above 1) and the id
 *       is unknown here, that attempt may have been decided by another process, or by this one
 *       before a restart: NOT_SEEN.
 *   <li>The proxy stopped waiting for the first decision, or there are two requests with the same
 *       id. The later one supersedes the earlier, so that there is one decision for any number of
 *       duplicates.
 *   <li>Handled as a new request; the outcome of the earlier one has no effect on it.
 *   <li>A backend rejected it, or could not be reached. Only the proxy says so, and it may mean
 *       just one of several attempts of its own. The id isn't forwarded again, but a retry with a
 *       new id is safe.
 * </ol>
 *
 * An id that another request uses (class, plan, customer or units differ) gets IN_USE unless it was
 * never forwarded. Ids of completed unsafe requests are kept for a retention time. The number of
 * ids is bounded: at the limit, requests are rejected with FULL, because evicting an id early could
 * let it run twice. Guarantee: an unsafe id is forwarded at most once while it is retained.
 *
 * <p>No I/O, threads or clock: the caller passes the time, in ns from any origin. Not thread-safe.
 */
final class DeduplicationDecider {
  /** State of a request id. */
  enum State {
    AWAITING_DECISION,
    FORWARDED,
    NOT_FORWARDED,
    NEVER_RAN,
    PERHAPS_RAN
  }

  /** Why a decision request is rejected. */
  enum Reason {
    /** The id belongs to another request. */
    IN_USE,
    /** It was forwarded before and may have run. */
    PERHAPS_RAN,
    /** It was forwarded before, and the proxy reported that no backend started it. */
    NEVER_RAN,
    /** The proxy reports an earlier attempt that is unknown here. */
    NOT_SEEN,
    /** The limit on open requests or on retained ids is reached. */
    FULL
  }

  /** What a decision request gets. */
  sealed interface Result {
    /** Accepted; the decision module decides it. */
    record Accepted(TrackedRequest request) implements Result {}

    /** It supersedes an earlier request with the same id that still awaits its decision. */
    record Superseding(TrackedRequest request) implements Result {}

    /** Rejected. */
    record Rejected(Reason reason) implements Result {}
  }

  /** An accepted request; the handle with which later events are reported. */
  static final class TrackedRequest {
    private final String id;
    private final boolean unsafe;
    private final Object fingerprint;
    private State state = State.AWAITING_DECISION;
    private long expiresAtNanos;

    private TrackedRequest(String id, boolean unsafe, Object fingerprint) {
      this.id = id;
      this.unsafe = unsafe;
      this.fingerprint = fingerprint;
    }

    String id() {
      return id;
    }

    boolean unsafe() {
      return unsafe;
    }

    State state() {
      return state;
    }

    private boolean open() {
      return state == State.AWAITING_DECISION || state == State.FORWARDED;
    }
  }

  private final int maxOpen;
  private final int maxIds;
  private final long idRetentionNanos;
  private final Map<String, TrackedRequest> ids = new HashMap<>();
  private final ArrayDeque<TrackedRequest> completed = new ArrayDeque<>();
  private int open;

  /**
   * @param maxOpen maximum number of requests that await a decision or an outcome
   * @param maxIds maximum number of known ids, including those of open requests
   * @param idRetentionNanos how long an unsafe id is retained after its request completed, in ns
   */
  DeduplicationDecider(int maxOpen, int maxIds, long idRetentionNanos) {
    this.maxOpen = maxOpen;
    this.maxIds = maxIds;
    this.idRetentionNanos = idRetentionNanos;
  }

  /**
   * Handles a proxy's decision request.
   *
   * @param fingerprint distinguishes requests with the same id; equal for the same request
   * @param attempt the proxy's attempt count, from 1; 0 if unknown
   * @param nowNanos current time in ns
   */
  Result decide(String id, boolean unsafe, Object fingerprint, int attempt, long nowNanos) {
    evictExpired(nowNanos);
    TrackedRequest existing = ids.get(id);
    if (existing != null
        && existing.state != State.NOT_FORWARDED
        && !existing.fingerprint.equals(fingerprint)) {
      return new Result.Rejected(Reason.IN_USE);
    }
    if (existing == null && unsafe && attempt > 1) {
      return new Result.Rejected(Reason.NOT_SEEN);
    }
    if (existing != null && existing.state == State.AWAITING_DECISION) {
      return new Result.Superseding(existing);
    }
    if (existing != null && existing.unsafe && existing.state != State.NOT_FORWARDED) {
      return new Result.Rejected(
          existing.state == State.NEVER_RAN ? Reason.NEVER_RAN : Reason.PERHAPS_RAN);
    }
    if (open >= maxOpen || existing == null && ids.size() >= maxIds) {
      return new Result.Rejected(Reason.FULL);
    }
    TrackedRequest accepted = new TrackedRequest(id, unsafe, fingerprint);
    ids.put(id, accepted);
    open++;
    return new Result.Accepted(accepted);
  }

  /** Returns the latest request with this id, or null if the id is unknown. */
  TrackedRequest find(String id) {
    return ids.get(id);
  }

  /** Records that the decision to forward the request is sent now. */
  void markForwarded(TrackedRequest request) {
    transition(request, State.AWAITING_DECISION, State.FORWARDED);
  }

  /**
   * Completes a request that no backend has started or will start: refused, withdrawn, rejected or
   * no connection.
   */
  void neverRan(TrackedRequest request, long nowNanos) {
    State as = request.state == State.FORWARDED ? State.NEVER_RAN : State.NOT_FORWARDED;
    transition(
        request, request.state == State.FORWARDED ? State.FORWARDED : State.AWAITING_DECISION, as);
    complete(request, nowNanos);
  }

  /** Completes a forwarded request that may have run. */
  void perhapsRan(TrackedRequest request, long nowNanos) {
    transition(request, State.FORWARDED, State.PERHAPS_RAN);
    complete(request, nowNanos);
  }

  private static void transition(TrackedRequest request, State from, State to) {
    if (request.state != from) {
      throw new IllegalStateException(
          "request " + request.id + " is " + request.state + ", not " + from);
    }
    request.state = to;
  }

  private void complete(TrackedRequest request, long nowNanos) {
    open--;
    if (ids.get(request.id) != request) {
      return; // superseded by a later duplicate of a safe request
    }
    if (!request.unsafe) {
      ids.remove(request.id);
      return;
    }
    request.expiresAtNanos = nowNanos + idRetentionNanos;
    completed.addLast(request);
  }

  private void evictExpired(long nowNanos) {
    for (TrackedRequest oldest = completed.peekFirst();
        oldest != null && oldest.expiresAtNanos - nowNanos <= 0;
        oldest = completed.peekFirst()) {
      completed.pollFirst();
      if (ids.get(oldest.id) == oldest && !oldest.open()) {
        ids.remove(oldest.id);
      }
    }
  }

  /** Returns the number of requests that await a decision or an outcome. */
  int open() {
    return open;
  }

  /** Returns the number of known ids. */
  int ids() {
    return ids.size();
  }
}
