package nettletrail.core;

import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.Function;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * The metadata in the headers of a backend's response.
 *
 * @param quotaUsedPercent metered use of the customer's quota in percent, -1 if absent
 * @param unitsCharged units that a successful response actually cost, 0 if absent
 * @param load the backend's load, or null if absent
 */
public record BackendReport(int quotaUsedPercent, double unitsCharged, Gateway.LoadReport load) {
  public static final AsciiString QUOTA_USED = AsciiString.cached("X-Quota-Used");
  public static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");
  public static final AsciiString PRESSURE = AsciiString.cached("X-Pressure");
  public static final BackendReport NONE = new BackendReport(-1, 0, null);

  /** Reads the headers of responses; implausible values count as absent. */
  public static final class Reader {
    /** The actual units may exceed the largest estimate, by at most this factor. */
    private static final double MAX_CHARGE_FACTOR = 4;

    /** Larger load values count as absent. */
    private static final double MAX_LOAD = 100_000;

    /** Largest plausible use of a quota in percent. */
    private static final long MAX_USED_PERCENT = 10_000;

    private final List<String> loadFields;
    private final double maxUnitsCharged;

    public Reader(GatewaySettingsReader settings) {
      loadFields = settings.loadReportFields();
      maxUnitsCharged =
          settings.maxUnitsPerRequest() > 0
              ? MAX_CHARGE_FACTOR * settings.maxUnitsPerRequest()
              : Double.MAX_VALUE;
    }

    /** Reads a report from a response's headers, looked up by name; an absent header is null. */
    public BackendReport read(Function<CharSequence, String> headers) {
      // The percentage as it is: the header doesn't include the 1 that the simulator's wire format
      // adds.
      long used = HeaderPairs.wholeNumber(headers.apply(QUOTA_USED));
      double charged = HeaderPairs.number(headers.apply(UNITS_CHARGED));
      return new BackendReport(
          used <= MAX_USED_PERCENT ? (int) used : -1,
          charged > 0 && charged <= maxUnitsCharged ? charged : 0,
          load(headers.apply(PRESSURE)));
    }

    /** The header names its values as the settings do, in any order. */
    private Gateway.LoadReport load(String text) {
      if (loadFields.isEmpty() || text == null) {
        return null;
      }
      Gateway.LoadReport load =
          new Gateway.LoadReport(
              value(text, GatewaySettingsReader.QUEUED_REQUESTS),
              value(text, GatewaySettingsReader.CPU_UTILIZATION),
              value(text, GatewaySettingsReader.REQUESTS_PER_SECOND));
      boolean none =
          Double.isNaN(load.queuedRequests())
              && Double.isNaN(load.cpuUtilization())
              && Double.isNaN(load.requestsPerSecond());
      return none || load.queuedRequests() > MAX_LOAD || load.cpuUtilization() > MAX_LOAD
          ? null
          : load;
    }

    private double value(String text, String field) {
      return loadFields.contains(field) ? HeaderPairs.number(text, field) : Double.NaN;
    }
  }
}
