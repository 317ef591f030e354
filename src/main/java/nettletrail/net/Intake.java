package nettletrail.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import java.util.List;
import nettletrail.Gateway;
import nettletrail.SettingsReader;

/**
 * What a request must look like to be taken on. All that it names is held against the settings before the module
 * hears of it: one request with absurd units would move the module's means and with them every customer's quota.
 */
final class Intake {
    private static final AsciiString LANE = AsciiString.cached("X-Lane");
    private static final AsciiString PLAN = AsciiString.cached("X-Plan");
    private static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
    private static final AsciiString QUOTA = AsciiString.cached("X-Quota");
    private static final int ID_DIGITS = 16;
    private static final long CUSTOMERS = 1L << 33;
    private static final long MOST_REMAINING_MS = 3_600_000;
    private static final long MS = 1_000_000L;

    private final List<String> classes;
    private final List<String> plans;
    private final Gateway.Settings settings;
    private final double mostUnits;

    Intake(SettingsReader reader, Gateway.Settings settings) {
        this.settings = settings;
        classes = reader.names("Services");
        plans = reader.names("TiersOfService");
        mostUnits = reader.mostUnits() > 0 ? reader.mostUnits() : held(settings.plans());
    }

    /** Where the settings don't tell the largest request, one that no plan's store could hold is none. */
    private static double held(List<Gateway.Plan> plans) {
        return plans.stream().mapToDouble(plan -> Math.max(plan.burst(), plan.mostOut())).max().orElse(1);
    }

    /** The request as the module is told it, or null if it is malformed. */
    Dispatcher.Arrival arrival(FullHttpRequest request, long since) {
        HttpHeaders headers = request.headers();
        String txn = headers.get(Dispatcher.TXN);
        int requestClass = classes.indexOf(headers.get(LANE));
        int plan = plans.indexOf(headers.get(PLAN));
        long customer = hex(headers.get(CUSTOMER));
        long remaining = Pairs.whole(headers.get(Dispatcher.REMAINING));
        String quota = headers.get(QUOTA);
        HttpMethod method = request.method();
        if (!isId(txn) || requestClass < 0 || plan < 0 || customer < 0 || customer >= CUSTOMERS || quota == null
                || remaining < 0 || remaining > MOST_REMAINING_MS || !method.equals(method(requestClass))) {
            return null;
        }
        double units = Pairs.number(quota, "units");
        long spread = Pairs.whole(Pairs.value(quota, "spread"));
        long first = Pairs.whole(Pairs.value(quota, "first"));
        int gateways = settings.gateways();
        if (!(units > 0 && units <= mostUnits) || spread < 1 || spread > gateways || first < 0 || first >= gateways) {
            return null;
        }
        long left = remaining - (System.nanoTime() - since) / MS;
        return new Dispatcher.Arrival(method, request.uri(), txn, requestClass, plan, customer, units, (int) spread,
                Math.max(0, left), request.content());
    }

    /** The method follows from the class: another is malformed, for it would say which may be sent again. */
    private HttpMethod method(int requestClass) {
        boolean repeatable = settings.classes().get(requestClass).effect() == Gateway.Effect.REPEATABLE;
        return repeatable ? HttpMethod.GET : HttpMethod.POST;
    }

    private static boolean isId(String text) {
        if (text == null || text.length() != ID_DIGITS) {
            return false;
        }
        for (int i = 0; i < ID_DIGITS; i++) {
            if (Character.digit(text.charAt(i), 16) < 0 || text.charAt(i) > 'f') {
                return false;
            }
        }
        return true;
    }

    /** The number that 16 hex digits are, or below 0: a sign is no digit. */
    private static long hex(String text) {
        return isId(text) ? Long.parseUnsignedLong(text, 16) : -1;
    }
}
