package nettletrail.emulator.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.configuration.Engine;
import nettletrail.router.BackendEndpoint;
import nettletrail.router.balance.BackendChoice;
import nettletrail.router.balance.BackendLoad;
import nettletrail.router.balance.PromptPrefix;
import nettletrail.router.balance.ServiceBackends;

/**
 * Processor time of a door for the choice of a backend, by the number of backends of the service.
 */
public final class ChoiceCost {
  private static final String ADDRESS = "10.128.0.1";
  private static final int PORT = 8080;
  private static final int SLOTS = 128;
  private static final int[] BACKENDS = {19, 38, 75, 150, 600};
  private static final int WARMING = 20_000;
  private static final int CHOICES = 20_000;
  private static final int REPEATS = 5;
  private static final int OUTSTANDING = 20;
  private static final long PROMPT_TOKENS = 2_000;
  private static final double MICROSECOND = 1e3;
  private static final long GAP_NS = 97_000_000;
  private static final Engine ENGINE = new Engine(128, 658_776, 5, List.of("m1"));

  private final ServiceBackends service = new ServiceBackends(FleetNames.zone(0), 1);
  private final SplittableRandom random = new SplittableRandom(1);
  private final List<BackendLoad> open = new ArrayList<>();
  private long now = 1_000_000_000L;

  private ChoiceCost(int backends) {
    List<BackendEndpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      InetSocketAddress address = InetSocketAddress.createUnresolved(ADDRESS, PORT);
      endpoints.add(
          new BackendEndpoint(FleetNames.backend(i), address, FleetNames.zone(i), SLOTS, 0));
    }
    service.update(endpoints);
  }

  /** Microseconds for a choice at this many backends, the median of some repeats. */
  static double microseconds(int backends) {
    ChoiceCost cost = new ChoiceCost(backends);
    cost.choose(WARMING);
    double[] repeats = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      long began = Gauge.cpuNs();
      cost.choose(CHOICES);
      repeats[i] = (Gauge.cpuNs() - began) / MICROSECOND / CHOICES;
    }
    return Gauge.quantile(repeats, Gauge.MEDIAN);
  }

  private void choose(int count) {
    for (int i = 0; i < count; i++) {
      now += GAP_NS;
      long key = 1 + random.nextInt(FleetPlan.TARGET.prefixes());
      BackendChoice choice =
          new BackendChoice(
              new PromptPrefix(key, PROMPT_TOKENS / 2), PROMPT_TOKENS, PROMPT_TOKENS, List.of());
      BackendLoad chosen = service.choose(choice, ENGINE, FleetPlan.TARGET.doors(), now);
      chosen.requestSent(PROMPT_TOKENS, PROMPT_TOKENS, PROMPT_TOKENS, now);
      chosen.bytesReceived(now);
      open.add(chosen);
      if (open.size() > OUTSTANDING) {
        BackendLoad over = open.remove(0);
        over.prefillCompleted(PROMPT_TOKENS, PROMPT_TOKENS);
        over.requestEnded(PROMPT_TOKENS);
        over.bytesReceived(now);
      }
    }
  }

  /** All sizes, the fit through all but the largest, and the error of its prediction. */
  public static Map<String, Object> figures() {
    double[] sizes = new double[BACKENDS.length - 1];
    double[] values = new double[BACKENDS.length - 1];
    Map<String, Object> figures = new LinkedHashMap<>();
    for (int i = 0; i < BACKENDS.length - 1; i++) {
      sizes[i] = BACKENDS[i];
      values[i] = microseconds(BACKENDS[i]);
      figures.put("us_at_" + BACKENDS[i], Rounded.of(values[i]));
    }
    Fit fit = Fit.of(sizes, values);
    int largest = BACKENDS[BACKENDS.length - 1];
    double measured = microseconds(largest);
    figures.put("us_at_" + largest, Rounded.of(measured));
    figures.put("fit", fit.told());
    figures.put("error_pct", Rounded.of(Fit.errorPct(fit.at(largest), measured)));
    return figures;
  }

  /** Prints the figures. */
  public static void main(String[] arguments) {
    figures().forEach((name, figure) -> System.out.println(name + " " + figure));
  }
}
