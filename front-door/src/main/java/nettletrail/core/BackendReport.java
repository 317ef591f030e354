package nettletrail.core;

import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.Function;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * What a backend's answer tells beside its body.
 *
 * @param quotaUsedPercent metered use of the customer in percent, -1 if not told
 * @param unitsCharged true units of a good answer, 0 if not told
 * @param load the backend's load, or null
 */
public record BackendReport(int quotaUsedPercent, double unitsCharged, Gateway.LoadReport load) {
    public static final AsciiString QUOTA_USED = AsciiString.cached("X-Quota-Used");
    public static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");
    public static final AsciiString PRESSURE = AsciiString.cached("X-Pressure");
    public static final BackendReport NONE = new BackendReport(-1, 0, null);

    /** Reads the headers of answers: figures that no backend can mean count as not told. */
    public static final class Reader {
        /** True units may exceed the largest guess, but not by more than this. */
        private static final double MAX_CHARGE_FACTOR = 4;
        /** A report of more is none. */
        private static final double MAX_LOAD = 100_000;
        /** Percent of a quota; more than this no backend can have counted. */
        private static final long MAX_USED_PERCENT = 10_000;

        private final List<String> loadFields;
        private final double maxUnitsCharged;

        public Reader(GatewaySettingsReader settings) {
            loadFields = settings.loadReportFields();
            maxUnitsCharged = settings.maxUnitsPerRequest() > 0 ? MAX_CHARGE_FACTOR * settings.maxUnitsPerRequest()
                    : Double.MAX_VALUE;
        }

        /** Made of an answer's headers, asked for by name; a header that is absent is null. */
        public BackendReport read(Function<CharSequence, String> headers) {
            // Percent as it is: the header is already less the 1 that the simulator's wire adds.
            long used = HeaderPairs.wholeNumber(headers.apply(QUOTA_USED));
            double charged = HeaderPairs.number(headers.apply(UNITS_CHARGED));
            return new BackendReport(used <= MAX_USED_PERCENT ? (int) used : -1,
                    charged > 0 && charged <= maxUnitsCharged ? charged : 0, load(headers.apply(PRESSURE)));
        }

        /** The header names its values as the settings do, in whatever order. */
        private Gateway.LoadReport load(String text) {
            if (loadFields.isEmpty() || text == null) {
                return null;
            }
            Gateway.LoadReport load = new Gateway.LoadReport(value(text, GatewaySettingsReader.QUEUED_REQUESTS),
                    value(text, GatewaySettingsReader.CPU_UTILIZATION),
                    value(text, GatewaySettingsReader.REQUESTS_PER_SECOND));
            boolean none = Double.isNaN(load.queuedRequests()) && Double.isNaN(load.cpuUtilization())
                    && Double.isNaN(load.requestsPerSecond());
            return none || load.queuedRequests() > MAX_LOAD || load.cpuUtilization() > MAX_LOAD ? null : load;
        }

        private double value(String text, String field) {
            return loadFields.contains(field) ? HeaderPairs.number(text, field) : Double.NaN;
        }
    }
}
