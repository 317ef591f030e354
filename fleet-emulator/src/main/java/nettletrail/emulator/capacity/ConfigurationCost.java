package nettletrail.emulator.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;
import nettletrail.configuration.RoutingTable;

/**
 * What one change of the configuration costs by the number of tenants: the owner patches and checks
 * the document, each door parses it and compiles the routing table that it keeps.
 */
public final class ConfigurationCost {
  private static final int[] TENANTS = {440, 890, 1_775, 3_550, 7_100};
  private static final int WARMING = 5;
  private static final int FIRST_WARMING = 400;
  private static final int REPEATS = 15;
  private static final double MICROSECOND = 1e3;

  private ConfigurationCost() {}

  /**
   * At one size.
   *
   * @param documentBytes of the whole document
   * @param patchUs processor time of the owner for a patch of one tenant, its check included, in
   *     microseconds
   * @param compileUs processor time of a door for the new document, in microseconds
   * @param keptBytes of a document and its routing table
   */
  public record Cost(
      int tenants, int documentBytes, double patchUs, double compileUs, long keptBytes) {}

  /**
   * At one number of tenants: the median of {@value #REPEATS} changes, after some that warm the
   * code.
   *
   * @throws ConfigurationException never, as the documents are valid
   */
  private static Cost at(int tenants, int warming, long kept) throws ConfigurationException {
    byte[] complete = SampleDocument.complete(1, tenants);
    ConfigurationDocument current = ConfigurationDocument.parse(complete);
    double[] patching = new double[REPEATS];
    double[] compiling = new double[REPEATS];
    for (int i = -warming; i < REPEATS; i++) {
      long began = Gauge.cpuNs();
      ConfigurationDocument next = current.patched(SampleDocument.change(current.edition() + 1, 0));
      next.requireValidAfter(current.edition());
      long patched = Gauge.cpuNs();
      RoutingTable.compile(ConfigurationDocument.parse(next.json()));
      long compiled = Gauge.cpuNs();
      current = next;
      if (i >= 0) {
        patching[i] = (patched - began) / MICROSECOND;
        compiling[i] = (compiled - patched) / MICROSECOND;
      }
    }
    return new Cost(tenants, complete.length, median(patching), median(compiling), kept);
  }

  /** What a door keeps of a configuration. */
  private record Kept(ConfigurationDocument document, RoutingTable table) {}

  /** Bytes that a door keeps of a valid configuration. */
  static long keptBytes(byte[] json) {
    compiled(json); // The reader's own buffers grow here, not below.
    return Gauge.keptBytes(() -> compiled(json));
  }

  private static Kept compiled(byte[] json) {
    try {
      ConfigurationDocument document = ConfigurationDocument.parse(json.clone());
      return new Kept(document, RoutingTable.compile(document));
    } catch (ConfigurationException e) {
      throw new IllegalStateException("a valid document was refused", e);
    }
  }

  private static double median(double[] values) {
    return Gauge.quantile(values, Gauge.MEDIAN);
  }

  /** All sizes, the fit through all but the largest, and the error of its prediction. */
  public static Map<String, Object> figures() throws ConfigurationException {
    long[] kept = new long[TENANTS.length];
    for (int i = 0; i < TENANTS.length; i++) {
      kept[i] = keptBytes(SampleDocument.complete(1, TENANTS[i]));
    }
    at(TENANTS[0], FIRST_WARMING, 0);
    List<Cost> costs = new ArrayList<>();
    for (int i = 0; i < TENANTS.length; i++) {
      costs.add(at(TENANTS[i], WARMING, kept[i]));
    }
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("tenants", TENANTS[TENANTS.length - 1]);
    describe(figures, "document_bytes", costs, Cost::documentBytes);
    describe(figures, "patch_us", costs, Cost::patchUs);
    describe(figures, "compile_us", costs, Cost::compileUs);
    describe(figures, "kept_bytes", costs, Cost::keptBytes);
    return figures;
  }

  private static void describe(
      Map<String, Object> figures, String name, List<Cost> costs, ToDoubleFunction<Cost> figure) {
    int fitted = costs.size() - 1;
    double[] sizes = costs.stream().limit(fitted).mapToDouble(Cost::tenants).toArray();
    double[] values = costs.stream().limit(fitted).mapToDouble(figure).toArray();
    Fit fit = Fit.of(sizes, values);
    double measured = figure.applyAsDouble(costs.get(fitted));
    double predicted = fit.at(costs.get(fitted).tenants());
    Map<String, Object> fitFigures = fit.told();
    fitFigures.put(
        "values", costs.stream().map(cost -> Rounded.of(figure.applyAsDouble(cost))).toList());
    fitFigures.put("predicted", Rounded.of(predicted));
    fitFigures.put("measured", Rounded.of(measured));
    fitFigures.put("error_pct", Rounded.of(Fit.errorPct(predicted, measured)));
    figures.put(name, fitFigures);
  }

  /** Prints the figures. */
  public static void main(String[] arguments) throws ConfigurationException {
    figures().forEach((name, figure) -> System.out.println(name + " " + figure));
  }
}
