package nettletrail.decision;

import java.util.List;

/**
 * The decisions of one gateway: the events it handles and the actions it requests.
 *
 * <p>One instance serves one gateway and is called by one thread at a time. Every event carries the
 * caller's clock in nanoseconds, with any origin; it never goes back. An implementation has no
 * clock, thread or file of its own, and draws random numbers from the seed it is given. It calls
 * {@link Actions} only while it handles an event.
 *
 * <p>The caller guarantees exactly one {@link #onAttemptEnd} for each {@link Actions#send}, request
 * ids that are never reused, and list changes in order. The implementation guarantees exactly one
 * final answer for each request: the first response with {@link Outcome#OK} (which the caller
 * forwards by itself), {@link Actions#reject} or {@link Actions#fail}.
 */
public interface Gateway {

  /**
   * The list of backends has changed: {@code entries} are the whole list, or only the entries that
   * changed.
   */
  void onBackends(long now, boolean whole, List<Backend> entries);

  /**
   * Sets how many gateways use each backend of this gateway's list, on average; at least 1. Called
   * before the list that it applies to. Until it is called, all {@link Settings#gatewayCount}
   * gateways do.
   */
  default void onGatewaysPerBackend(long now, double gateways) {}

  /** A request for the list failed, or the subscription ended; the last list stays valid. */
  void onDiscoveryFailure(long now);

  /** A client's request has arrived. The implementation owns it until its one final answer. */
  void onRequest(long now, Request request);

  /** An attempt has ended. The request may have ended before. */
  void onAttemptEnd(long now, AttemptReport report);

  /**
   * The client has disconnected, or its deadline has passed: the request has ended and needs no
   * answer.
   */
  void onRequestCancelled(long now, long requestId);

  /** A timer set with {@link Actions#startTimer} has fired. */
  void onTimer(long now, int token);

  /** The actions that a gateway's decisions request from its caller. */
  interface Actions {
    /**
     * Sends the request to this backend as its next attempt (numbered from 0), with a timeout in
     * ns; 0 for none but the client's.
     */
    void send(long requestId, long backendId, long timeoutNanos);

    /** Final answer: rejected, and a retry by the client is safe. Retry-after in ns; 0 for none. */
    void reject(long requestId, long retryAfterNanos);

    /** Final answer: failed; the request may have had an effect. */
    void fail(long requestId);

    /** Starts a timer that calls {@link Gateway#onTimer} with this token after so many ns. */
    void startTimer(int token, long delayNanos);

    /** Subscribes to the list of backends and its changes. */
    void subscribeBackends();

    /** Logs a line for operators. */
    void log(String line);
  }

  /** How an attempt ended. */
  enum Outcome {
    /** The backend responded successfully. */
    OK(true),
    /** The backend answered with an error. */
    ERROR(true),
    /** The backend rejected the request without processing it. */
    FULL(false),
    /** No response before the timeout; the attempt may still run. */
    TIMED_OUT(true),
    /** No connection could be established. */
    CONNECT_FAILED(false),
    /** The connection broke while the attempt was in flight. */
    RESET(true),
    /** Cancelled; the attempt may have run. */
    CANCELLED(true),
    /** The attempt never left the gateway. */
    NEVER_SENT(false);

    /** Whether the attempt may have run at the backend. */
    public final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }
  }

  /**
   * Whether a request of a class may run twice: always, with an idempotency key within a window, or
   * never.
   */
  enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NOT_IDEMPOTENT
  }

  /** Which backends share the memory of idempotency keys that drops repeats. */
  enum DedupScope {
    ALL,
    ZONE,
    CELL
  }

  /** State of a backend in the list. */
  enum DiscoveryState {
    READY,
    DRAINING,
    GONE
  }

  /**
   * An entry of the list of backends.
   *
   * @param id identifies the backend, also after a restart
   * @param zone its zone
   * @param machineType its machine type
   * @param cell the small group of backends that shares its memory of idempotency keys
   * @param state its state in the list
   * @param weight its capacity relative to other backends; 0 or less counts as 1
   * @param startedAtNanos clock time of its last start; 0 for long ago
   */
  record Backend(
      long id,
      int zone,
      int machineType,
      int cell,
      DiscoveryState state,
      double weight,
      long startedAtNanos) {
    public Backend {
      requirePresent(state, "Backend.state");
    }
  }

  /**
   * A client's request.
   *
   * @param id unique forever
   * @param requestClass index into {@link Settings#classes}
   * @param plan index into {@link Settings#plans}
   * @param customer the customer whose quota it draws from
   * @param units units that it draws, reported or estimated; above 0
   * @param gatewaySubsetSize number of gateways that receive the customer's requests; at least 1
   * @param timeoutNanos time until the client's deadline
   * @param maxQueueNanos maximum time in the queue before its first attempt or its rejection, for a
   *     caller that must decide within a budget; {@link Long#MAX_VALUE} for no limit
   */
  record Request(
      long id,
      int requestClass,
      int plan,
      long customer,
      double units,
      int gatewaySubsetSize,
      long timeoutNanos,
      long maxQueueNanos) {
    /** A request that may be queued until its client's deadline. */
    public Request(
        long id,
        int requestClass,
        int plan,
        long customer,
        double units,
        int gatewaySubsetSize,
        long timeoutNanos) {
      this(
          id, requestClass, plan, customer, units, gatewaySubsetSize, timeoutNanos, Long.MAX_VALUE);
    }

    public Request {
      requireInRange(maxQueueNanos >= 0, "Request.maxQueueNanos");
      requireInRange(units > 0 && units < 1e9, "Request.units");
      requireInRange(gatewaySubsetSize >= 1, "Request.gatewaySubsetSize");
      requireInRange(timeoutNanos >= 0, "Request.timeoutNanos");
      requireInRange(requestClass >= 0, "Request.requestClass");
      requireInRange(plan >= 0, "Request.plan");
    }
  }

  /**
   * The end of an attempt.
   *
   * @param requestId the request
   * @param attempt the attempt's number, from 0 in order of sending
   * @param backendId the backend it was sent to
   * @param outcome how it ended
   * @param requestEnded whether the request has ended, with this attempt or before
   * @param durationNanos time since it was sent
   * @param quotaUsedPercent metered use of the customer over all gateways in the last complete
   *     period, in percent of the rate (without a rate: peak concurrency, in percent of the cap);
   *     -1 if not reported
   * @param actualUnits units actually used; 0 if not reported
   * @param load the backend's load report, or null
   */
  record AttemptReport(
      long requestId,
      int attempt,
      long backendId,
      Outcome outcome,
      boolean requestEnded,
      long durationNanos,
      int quotaUsedPercent,
      double actualUnits,
      LoadReport load) {
    public AttemptReport {
      requirePresent(outcome, "AttemptReport.outcome");
    }
  }

  /**
   * A backend's load report, delayed and noisy; NaN for a value that it does not report.
   *
   * @param queuedRequests requests queued there
   * @param cpuUtilization share of its CPU in use, 0 to 1
   * @param requestsPerSecond requests served per second
   */
  record LoadReport(double queuedRequests, double cpuUtilization, double requestsPerSecond) {}

  /**
   * A class of requests.
   *
   * @param targetLatencyNanos a response within this time earns the full value
   * @param value value of one request
   * @param lateValueShare share of the value earned after the target latency
   * @param idempotency whether it may run twice
   * @param dedupScope for keyed requests, which backends drop repeats
   * @param dedupWindowNanos for keyed requests, how long repeats are dropped
   */
  record RequestClass(
      long targetLatencyNanos,
      double value,
      double lateValueShare,
      Idempotency idempotency,
      DedupScope dedupScope,
      long dedupWindowNanos) {
    public RequestClass {
      requireInRange(targetLatencyNanos > 0, "RequestClass.targetLatencyNanos");
      requireInRange(value >= 0, "RequestClass.value");
      requireInRange(lateValueShare >= 0, "RequestClass.lateValueShare");
      requirePresent(idempotency, "RequestClass.idempotency");
      requirePresent(dedupScope, "RequestClass.dedupScope");
      requireInRange(dedupWindowNanos >= 0, "RequestClass.dedupWindowNanos");
    }
  }

  /**
   * A plan; its limits apply to each customer over all gateways together.
   *
   * @param ratePerSecond units per second; 0 for no rate quota
   * @param burstUnits capacity of the token bucket, full at first
   * @param maxConcurrency maximum attempts in flight; 0 for no concurrency cap
   * @param ceilingRatePerSecond units per second of the hard ceiling; 0 for none
   * @param ceilingBurstUnits capacity of the ceiling's token bucket, full at first
   * @param ceilingOverdraftUnits units by which the ceiling's bucket may go below 0
   * @param overQuotaCost share of the value that a request over the quota costs
   * @param overQuotaValue share of the value that a request over the quota earns
   * @param price factor on the value of its requests
   */
  record Plan(
      double ratePerSecond,
      double burstUnits,
      int maxConcurrency,
      double ceilingRatePerSecond,
      double ceilingBurstUnits,
      double ceilingOverdraftUnits,
      double overQuotaCost,
      double overQuotaValue,
      double price) {
    public Plan {
      requireInRange(ratePerSecond >= 0 && ratePerSecond < 1e12, "Plan.ratePerSecond");
      requireInRange(burstUnits >= 0, "Plan.burstUnits");
      requireInRange(maxConcurrency >= 0, "Plan.maxConcurrency");
      requireInRange(ceilingRatePerSecond >= 0, "Plan.ceilingRatePerSecond");
      requireInRange(ceilingBurstUnits >= 0, "Plan.ceilingBurstUnits");
      requireInRange(ceilingOverdraftUnits >= 0, "Plan.ceilingOverdraftUnits");
      requireInRange(overQuotaCost >= 0, "Plan.overQuotaCost");
      requireInRange(overQuotaValue >= 0, "Plan.overQuotaValue");
      requireInRange(price >= 0, "Plan.price");
    }
  }

  /**
   * The settings of a gateway, fixed at its start.
   *
   * @param gatewayCount number of gateways that share the backends
   * @param zone the gateway's zone
   * @param seed seed of its random numbers
   * @param tickNanos minimum interval between events
   * @param maxAttempts maximum attempts for one request
   * @param subscribesToBackends whether the list of backends comes only after {@link
   *     Actions#subscribeBackends}
   * @param coldCapacityShare minimum share of its capacity that a backend has right after its start
   * @param slowStartNanos time after which a started backend has its full capacity at the latest
   * @param overloadFactor a cold backend fails if it is sent more than this multiple of its current
   *     capacity
   * @param overloadNanos for this long
   * @param crossZoneCost cost of each request that crosses zones once
   * @param meteringPeriodNanos period over which the meter totals use; 0 for no meter
   * @param classes the classes of requests
   * @param plans the customers' plans
   */
  record Settings(
      int gatewayCount,
      int zone,
      long seed,
      long tickNanos,
      int maxAttempts,
      boolean subscribesToBackends,
      double coldCapacityShare,
      long slowStartNanos,
      double overloadFactor,
      long overloadNanos,
      double crossZoneCost,
      long meteringPeriodNanos,
      List<RequestClass> classes,
      List<Plan> plans) {
    public Settings {
      requireInRange(gatewayCount >= 1, "Settings.gatewayCount");
      requireInRange(tickNanos >= 0, "Settings.tickNanos");
      requireInRange(maxAttempts >= 1, "Settings.maxAttempts");
      requireInRange(coldCapacityShare > 0 && coldCapacityShare <= 1, "Settings.coldCapacityShare");
      requireInRange(slowStartNanos >= 0, "Settings.slowStartNanos");
      requireInRange(overloadFactor > 0, "Settings.overloadFactor");
      requireInRange(overloadNanos >= 0, "Settings.overloadNanos");
      requireInRange(crossZoneCost >= 0, "Settings.crossZoneCost");
      requireInRange(meteringPeriodNanos >= 0, "Settings.meteringPeriodNanos");
      classes = List.copyOf(requirePresent(classes, "Settings.classes"));
      plans = List.copyOf(requirePresent(plans, "Settings.plans"));
    }
  }

  /** Throws IllegalArgumentException, naming the field, unless its value is in range. */
  static void requireInRange(boolean inRange, String field) {
    if (!inRange) {
      throw new IllegalArgumentException(field + " is out of range");
    }
  }

  /** Returns the value; throws IllegalArgumentException, naming the field, if it is null. */
  static <T> T requirePresent(T value, String field) {
    if (value == null) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return value;
  }
}
