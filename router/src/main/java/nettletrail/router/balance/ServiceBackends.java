package nettletrail.router.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.configuration.Engine;
import nettletrail.router.BackendEndpoint;

/**
 * Chooses a backend for each request to one service.
 *
 * <p>Services with an engine: the cost of a backend is what a prompt would wait for there, in
 * tokens to be read: the prompts that this door sent there and that are not read yet, the part of
 * this prompt that the backend does not hold, and a share for each running request, which slows
 * every step. Whether it holds the shared prefix is told by what this door sent there, else
 * guessed: all doors prefer the same few backends for a prefix, those that rendezvous hashing puts
 * first. Weighed are all backends that may hold it and two others by chance, so that doors with the
 * same old knowledge do not all choose the same.
 *
 * <p>Other services: the less loaded of two by chance, or one of this door's zone if that is not
 * fuller.
 *
 * <p>In both, a backend that has been slower than others counts as that much fuller, and one that
 * failed requests is put behind by the part that failed.
 */
public final class ServiceBackends {

  /**
   * Chance that the first and the second of a prefix's backends lack it, if this door has not sent
   * it there.
   */
  private static final double FIRST_MISS = 0.05;

  private static final double SECOND_MISS = 0.7;

  /** A shared part that is read again is priced beside the time that it takes. */
  static final double READ_AGAIN_WEIGHT = 2.5;

  /** What a running request costs the next one, in tokens of prompt. */
  static final double RUNNING_TOKENS = 40;

  /** What a backend in another zone costs more, in tokens of prompt: two ways of some ms. */
  static final double OTHER_ZONE_TOKENS = 150;

  /** Full of that share of its memory a backend begins to preempt requests. */
  static final double MEMORY_SHARE = 0.85;

  /** What every answer of an engine takes before it begins, in tokens of prompt. */
  static final double STEP_TOKENS = 3_500;

  /** One long prompt at this door says little of some dozens of others: the guess is bounded. */
  private static final double MAX_GUESSED_SHARE = 0.4;

  private static final double FULL_TOKENS = 1e7;

  /** What a backend costs more that fails all its requests: more than any prompt. */
  private static final double FAILURE_TOKENS = 60_000;

  private static final double FAILURE_LOAD = 4;

  /**
   * Of the request that is to be sent, so that slots and slowness count where nothing is
   * outstanding.
   */
  private static final double OWN_LOAD = 0.5;

  private static final double COLD_LOAD = 0.5;
  private static final double USUAL_STEP = 1.04;

  /** A plain backend in another zone must be less loaded by that, in requests for each slot. */
  static final double OTHER_ZONE_LOAD = 0.34;

  private final String zone;
  private final SplittableRandom random;
  private final Map<String, BackendLoad> loads = new HashMap<>();
  private final PrefixIndex prefixes = new PrefixIndex();
  private final List<String> ejected = new ArrayList<>();
  private List<BackendLoad> ready = List.of();

  /** Median time that the service's backends take for a unit of work, ns; 0 while unknown. */
  private double usualNanosPerUnit;

  /**
   * @param zone where this door stands
   */
  public ServiceBackends(String zone, long seed) {
    this.zone = zone;
    random = new SplittableRandom(seed);
  }

  /**
   * The backends that are ready from now on.
   *
   * @return the ids of those that are not any more
   */
  public List<String> update(List<BackendEndpoint> endpoints) {
    Map<String, BackendLoad> before = new HashMap<>(loads);
    loads.clear();
    List<BackendLoad> now = new ArrayList<>(endpoints.size());
    for (BackendEndpoint endpoint : endpoints) {
      BackendLoad load = before.remove(endpoint.id());
      load = load == null ? new BackendLoad(endpoint) : load;
      loads.put(endpoint.id(), load);
      now.add(load);
    }
    ready = now;
    return new ArrayList<>(before.keySet());
  }

  /** Those that were ejected for their silence since this was last asked. */
  public List<String> takeEjected() {
    if (ejected.isEmpty()) {
      return List.of();
    }
    List<String> taken = List.copyOf(ejected);
    ejected.clear();
    return taken;
  }

  /** Whether there is a backend that is none of these. */
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

  /** Backends that are ready. */
  public int size() {
    return ready.size();
  }

  /** The slots of all backends that are ready. */
  public int slots() {
    int slots = 0;
    for (BackendLoad load : ready) {
      slots += load.endpoint().slots();
    }
    return slots;
  }

  /**
   * Chooses a backend that was not tried yet.
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
            ? lessLoadedOfTwo(candidates, now)
            : cheapest(candidates, request, engine, Math.max(1, doors), now);
    if (request.prefix().key() != 0) {
      prefixes.sent(request.prefix().key(), chosen.endpoint().id());
    }
    return chosen;
  }

  /** Those that are healthy; if that leaves out more than half of the service, all. */
  private List<BackendLoad> candidates(BackendChoice request, long now) {
    List<BackendLoad> healthy = new ArrayList<>(ready.size());
    List<BackendLoad> untried = new ArrayList<>(ready.size());
    for (BackendLoad load : ready) {
      if (request.tried().contains(load.endpoint().id())) {
        continue;
      }
      untried.add(load);
      if (load.ejectIfSilent(now)) {
        ejected.add(load.endpoint().id());
      }
      if (load.health().admits(now)) {
        healthy.add(load);
      }
    }
    return healthy.isEmpty() || 2 * healthy.size() < untried.size() ? untried : healthy;
  }

  private BackendLoad lessLoadedOfTwo(List<BackendLoad> candidates, long now) {
    BackendLoad first = candidates.get(random.nextInt(candidates.size()));
    BackendLoad second = candidates.get(random.nextInt(candidates.size()));
    BackendLoad best = plainCost(second, now) < plainCost(first, now) ? second : first;
    for (BackendLoad near : candidates) {
      if (isNear(near) && plainCost(near, now) < plainCost(best, now)) {
        best = near;
      }
    }
    return best;
  }

  private double plainCost(BackendLoad load, long now) {
    double fullness = (load.outstanding() + OWN_LOAD) / load.endpoint().slots();
    return fullness * load.latency().slowdown(now)
        + FAILURE_LOAD * load.failureRate(now)
        + (isNear(load) ? 0 : OTHER_ZONE_LOAD)
        + (load.endpoint().warmUpLeftMs() > 0 ? COLD_LOAD : 0);
  }

  private boolean isNear(BackendLoad load) {
    return load.endpoint().zone().equals(zone);
  }

  private BackendLoad cheapest(
      List<BackendLoad> candidates, BackendChoice request, Engine engine, int doors, long now) {
    long prefix = request.prefix().key();
    BackendLoad[] preferred = RendezvousHash.firstTwo(candidates, prefix);
    int firstChance = random.nextInt(candidates.size());
    int secondChance = random.nextInt(candidates.size());
    BackendLoad best = null;
    double min = Double.POSITIVE_INFINITY;
    for (int i = 0; i < candidates.size(); i++) {
      BackendLoad each = candidates.get(i);
      double miss = missChance(each, preferred, prefix);
      if (miss == 1 && i != firstChance && i != secondChance) {
        continue;
      }
      double cost = engineCost(each, request, engine, doors, miss, now);
      if (cost < min) {
        min = cost;
        best = each;
      }
    }
    return best;
  }

  /** The chance that a backend does not hold the prefix. */
  private double missChance(BackendLoad load, BackendLoad[] preferred, long prefix) {
    if (prefix == 0) {
      return 1;
    }
    if (prefixes.wasSent(prefix, load.endpoint().id())) {
      return 0;
    }
    return load == preferred[0] ? FIRST_MISS : load == preferred[1] ? SECOND_MISS : 1;
  }

  private double engineCost(
      BackendLoad load, BackendChoice request, Engine engine, int doors, double miss, long now) {
    double wait = load.prefillTokens() + RUNNING_TOKENS * load.outstanding() + STEP_TOKENS;
    double cost =
        miss * request.prefix().tokens() * READ_AGAIN_WEIGHT
            + wait * load.latency().slowdown(now)
            + FAILURE_TOKENS * load.failureRate(now)
            + (isNear(load) ? 0 : OTHER_ZONE_TOKENS);
    double memory = expectedMemory(load, engine, doors) + request.memoryTokens();
    boolean overMemory = engine.kvTokens() > 0 && memory > MEMORY_SHARE * engine.kvTokens();
    return overMemory ? cost + FULL_TOKENS * memory / engine.kvTokens() : cost;
  }

  /**
   * What this door has sent there, and what the others have, if they send to all backends as much
   * as this one does.
   */
  private double expectedMemory(BackendLoad load, Engine engine, int doors) {
    long sum = 0;
    for (BackendLoad each : ready) {
      sum += each.memoryTokens();
    }
    double others = (doors - 1.0) * sum / ready.size();
    return load.memoryTokens() + Math.min(others, MAX_GUESSED_SHARE * engine.kvTokens());
  }

  /**
   * A backend's answer began.
   *
   * @param work what it had to do before, in tokens for engines, else any unit
   * @param nanos that it took
   */
  public void answerBegan(BackendLoad load, double work, long nanos, long now) {
    double perUnit = nanos / Math.max(1, work);
    if (usualNanosPerUnit == 0) {
      usualNanosPerUnit = perUnit;
    }
    usualNanosPerUnit *= perUnit > usualNanosPerUnit ? USUAL_STEP : 1 / USUAL_STEP;
    load.latency().observe(perUnit / usualNanosPerUnit, now);
  }

  /**
   * What a backend has to do before a request that is sent there now is answered, for {@link
   * #answerBegan}.
   */
  public static double workBefore(BackendLoad load, long promptTokens, Engine engine) {
    return engine == null
        ? 1 + (double) load.outstanding() / load.endpoint().slots()
        : promptTokens + load.prefillTokens() + RUNNING_TOKENS * load.outstanding() + STEP_TOKENS;
  }
}
