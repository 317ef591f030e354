package nettletrail.site;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * What a stand-in site is like; made into the settings that front doors are told, and used by its backends, its clients
 * and the auditor.
 *
 * @param doors front doors
 * @param classes of requests
 * @param plans of customers
 * @param coldFrom share of its capacity that a backend has when it starts
 * @param rampMs until it is warm
 * @param overloadFactor a cold backend offered more than this multiple of what it can do falls over
 * @param fallMs when that lasts so long
 * @param drainGraceMs after which a drain that was told must be heeded
 * @param metered whether answers tell the customer's use
 */
public record SiteSettings(int doors, List<RequestClass> classes, List<Plan> plans, double coldFrom, long rampMs,
        double overloadFactor, long fallMs, long drainGraceMs, boolean metered) {
    /** A class of requests; times in ms. */
    public record RequestClass(String name, boolean unsafe, long aimMs, long deadlineMs, double worth) { }

    /**
     * A plan; rates in units a second.
     *
     * @param rate 0 for a plan with a cap on attempts out
     * @param ceilingRate 0 for none
     */
    public record Plan(String name, double rate, double burst, int mostOut, double ceilingRate, double ceilingBurst,
            double ceilingSlack, double price) { }

    /** The largest number of units that a client names. */
    public static final double MOST_UNITS = 6;

    /** A site of the usual kind: status and submit, four plans, one of them with a ceiling and one with a cap. */
    public static SiteSettings usual(int doors) {
        return new SiteSettings(doors, List.of(new RequestClass("order-status", false, 750, 3_000, 2),
                new RequestClass("order-submit", true, 750, 3_000, 5)),
                List.of(new Plan("mini", 6, 24, 0, 0, 0, 0, 0.5), new Plan("standard", 12, 48, 0, 0, 0, 0, 0.8),
                        new Plan("business", 30, 60, 0, 60, 120, 12, 1.3), new Plan("carrier", 0, 0, 24, 0, 0, 0, 1.6)),
                0.3, 5_000, 3, 2_000, 1_000, true);
    }

    RequestClass named(String name) {
        return classes.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
    }

    Plan plan(String name) {
        return plans.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
    }

    /** The settings as the configuration of the front door with this number has them. */
    public String json(int index) {
        return "{\"Index\":" + index + "," + json().substring(1);
    }

    /** The same without a number. */
    public String json() {
        String services = classes.stream().map(each -> String.format(Locale.ROOT,
                "{\"Name\":\"%s\",\"Aim\":%d,\"Deadline\":%d,\"Effect\":\"%s\",\"Worth\":%s,\"LateValue\":%s}", each.name(),
                each.aimMs() * 1_000_000, each.deadlineMs() * 1_000_000, each.unsafe() ? "single_shot" : "free",
                each.worth(), each.unsafe() ? 0 : 0.2)).collect(Collectors.joining(","));
        String tiers = plans.stream().map(each -> String.format(Locale.ROOT,
                "{\"Name\":\"%s\",\"PerSecond\":%s,\"Burst\":%s,\"MaxOut\":%d,\"NeverOverRate\":%s,\"HardBurst\":%s,"
                + "\"HardSlack\":%s,\"ExcessCost\":0.8,\"Pays\":%s}", each.name(), each.rate(), each.burst(),
                each.mostOut(), each.ceilingRate(), each.ceilingBurst(), each.ceilingSlack(), each.price()))
                .collect(Collectors.joining(","));
        return String.format(Locale.ROOT, "{\"Balancers\":%d,\"Ceilings\":{\"ConnIdle\":20000000000,"
                + "\"ConnectTimeout\":250000000,\"MaxAttempts\":3},\"Dcs\":[\"a\",\"b\",\"c\"],\"Discovery\":\"push\","
                + "\"FamilyInfo\":{%s\"MostUnits\":%s},\"Flavors\":[\"m1\"],\"Obligations\":{\"ColdFrom\":%s,"
                + "\"RampTime\":%d,\"OverloadFactor\":%s,\"Fall\":%d},\"Report\":{\"Fields\":[\"pending\",\"cpu_share\"],"
                + "\"How\":\"inline\"},\"Services\":[%s],\"TiersOfService\":[%s],\"Zone\":0}", doors,
                metered ? "\"Metering\":1000000000," : "", MOST_UNITS, coldFrom, rampMs * 1_000_000, overloadFactor,
                fallMs * 1_000_000, services, tiers);
    }
}
