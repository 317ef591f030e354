package nettletrail.router.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.configuration.Engine;
import nettletrail.router.BackendEndpoint;

/**
 * The ready backends of one service, and the choice among them for each request: by {@link
 * PrefixAwarePolicy} if the service has an inference engine, else by {@link LeastRequestPolicy}.
 * Ejected backends are left out, unless that would leave out more than half of the service (Envoy's
 * "panic threshold").
 *
 * <p>Deterministic for a seed; not thread-safe. {@code now} is in ns of the steady clock.
 */
public final class ServiceBackends {
  private final Map<String, BackendLoad> loads = new HashMap<>();
  private final PrefixIndex prefixIndex = new PrefixIndex();
  private final MedianLatency medianLatency = new MedianLatency();
  private final LeastRequestPolicy leastRequest;
  private final PrefixAwarePolicy prefixAware;
  private final List<String> newlyEjected = new ArrayList<>();
  private List<BackendLoad> ready = List.of();

  /**
   * @param zone where this door runs
   * @param seed of the random choices
   */
  public ServiceBackends(String zone, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    leastRequest = new LeastRequestPolicy(zone, random);
    prefixAware = new PrefixAwarePolicy(zone, random, prefixIndex);
  }

  /**
   * Replaces the list of ready backends. Load and health of incarnations that stay are kept.
   *
   * @return the ids of the incarnations that are no longer in it
   */
  public List<String> update(List<BackendEndpoint> endpoints) {
    Map<String, BackendLoad> before = new HashMap<>(loads);
    loads.clear();
    List<BackendLoad> updated = new ArrayList<>(endpoints.size());
    for (BackendEndpoint endpoint : endpoints) {
      BackendLoad load = before.remove(endpoint.id());
      load = load == null ? new BackendLoad(endpoint) : load;
      loads.put(endpoint.id(), load);
      updated.add(load);
    }
    ready = updated;
    return new ArrayList<>(before.keySet());
  }

  /** The ids of backends that were ejected for an idle timeout since the last call. */
  public List<String> pollEjected() {
    if (newlyEjected.isEmpty()) {
      return List.of();
    }
    List<String> polled = List.copyOf(newlyEjected);
    newlyEjected.clear();
    return polled;
  }

  /** Whether a ready backend is not among these ids. */
  public boolean hasUntried(List<String> tried) {
    for (BackendLoad load : ready) {
      if (!tried.contains(load.endpoint().id())) {
        return true;
      }
    }
    return false;
  }

  /** Whether the incarnation is ready. */
  public boolean isReady(String backendId) {
    return loads.containsKey(backendId);
  }

  /** Number of ready backends. */
  public int size() {
    return ready.size();
  }

  /** Sum of the slots of all ready backends. */
  public int slots() {
    int slots = 0;
    for (BackendLoad load : ready) {
      slots += load.endpoint().slots();
    }
    return slots;
  }

  /**
   * Chooses a backend that had no attempt of the request yet.
   *
   * @param engine of the service, or null
   * @param doors that send to the same backends
   * @return null if there is none
   */
  public BackendLoad choose(BackendChoice request, Engine engine, int doors, long now) {
    List<BackendLoad> candidates = candidates(request, now);
    if (candidates.isEmpty()) {
      return null;
    }
    BackendLoad chosen =
        engine == null
            ? leastRequest.choose(candidates, now)
            : prefixAware.choose(
                new PrefixAwarePolicy.Query(candidates, ready, request, engine, Math.max(1, doors)),
                now);
    if (request.prefix().key() != 0) {
      prefixIndex.add(request.prefix().key(), chosen.endpoint().id());
    }
    return chosen;
  }

  /** The untried backends that are not ejected; all untried ones if those are fewer than half. */
  private List<BackendLoad> candidates(BackendChoice request, long now) {
    List<BackendLoad> healthy = new ArrayList<>(ready.size());
    List<BackendLoad> untried = new ArrayList<>(ready.size());
    for (BackendLoad load : ready) {
      if (request.tried().contains(load.endpoint().id())) {
        continue;
      }
      untried.add(load);
      if (load.ejectIfUnresponsive(now)) {
        newlyEjected.add(load.endpoint().id());
      }
      if (load.outlierDetector().admits(now)) {
        healthy.add(load);
      }
    }
    return healthy.isEmpty() || 2 * healthy.size() < untried.size() ? untried : healthy;
  }

  /**
   * A backend's response began: updates its relative latency.
   *
   * @param work in front of the request when it was sent, from {@link #workBefore}
   * @param nanos from sending the request to the first byte of the response's body
   */
  public void responseStarted(BackendLoad load, double work, long nanos, long now) {
    double nanosPerUnit = nanos / Math.max(1, work);
    load.latency().observe(medianLatency.observe(nanosPerUnit), now);
  }

  /**
   * The work that a backend has to do before it responds to a request that is sent now: tokens for
   * engines, else requests for each slot.
   */
  public static double workBefore(BackendLoad load, long promptTokens, Engine engine) {
    return engine == null
        ? 1 + (double) load.outstanding() / load.endpoint().slots()
        : promptTokens + PrefillCost.queuedTokens(load);
  }
}
