package nettletrail.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings, as the {@code start} event's text or as the same lines made of a configuration: path=value.
 * Unknown keys are ignored; a key that is absent has the default given at its place below, in most cases 0.
 */
public final class GatewaySettingsReader {
    /** What the settings call the values of a load report that the module uses. */
    public static final String QUEUED_REQUESTS = "pending";
    public static final String CPU_UTILIZATION = "cpu_share";
    public static final String REQUESTS_PER_SECOND = "served_ps";

    private static final long LONGEST_DEADLINE = 3_000_000_000L;

    private final Map<String, String> values = new HashMap<>();

    public GatewaySettingsReader(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals), line.substring(equals + 1).strip());
            } else if (!line.isBlank()) {
                throw new InvalidInputException("settings: no '=' in line '" + line + "'");
            }
        }
    }

    public Gateway.Settings settings(long seed) {
        List<Gateway.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("Services.count"); i++) {
            classes.add(requestClass("Services." + i + "."));
        }
        List<Gateway.Plan> plans = new ArrayList<>();
        for (int i = 0; i < count("TiersOfService.count"); i++) {
            plans.add(plan("TiersOfService." + i + "."));
        }
        return new Gateway.Settings(count("Balancers", 1), count("Zone"), seed, durationNanos("Step"),
                count("Ceilings.MaxAttempts", 1), text("Discovery", "push").equals("ask"),
                number("Obligations.ColdFrom", 1), durationNanos("Obligations.RampTime"),
                number("Obligations.OverloadFactor", 1), durationNanos("Obligations.Fall"),
                number("Charges.CrossZone", 0), durationNanos("FamilyInfo.Metering"), classes, plans);
    }

    /** This gateway's number among all, from 0; below 0 where the settings don't tell it. */
    public int gatewayIndex() {
        double index = number("Index", -1);
        return index >= 0 && index < count("Balancers", 1) ? (int) index : -1;
    }

    /** How many backends it uses, where these settings say so; else as given. */
    public ApertureSettings aperture(ApertureSettings absent) {
        boolean enabled = switch (text("Aperture.Enabled", String.valueOf(absent.enabled()))) {
            case "true" -> true;
            case "false" -> false;
            default -> throw malformed("Aperture.Enabled");
        };
        return new ApertureSettings(enabled, count("Aperture.Least", absent.minBackends()),
                count("Aperture.DoorsPerBackend", absent.minGatewaysPerBackend()));
    }

    /** The names of a load report's values, in their order on the wire. */
    public List<String> loadReportFields() {
        return list("Report.Fields");
    }

    /** The most units that a request takes; 0 if the settings don't tell. */
    public double maxUnitsPerRequest() {
        return number("FamilyInfo.MostUnits", 0);
    }

    /**
     * The longest that a client waits, ns: over all classes, 3 s where none tells (the most that the protocol knows).
     */
    public long maxDeadlineNanos() {
        long longest = 0;
        for (int i = 0; i < count("Services.count"); i++) {
            longest = Math.max(longest, durationNanos("Services." + i + ".Deadline"));
        }
        return longest > 0 ? longest : LONGEST_DEADLINE;
    }

    /** A list of plain values. */
    public List<String> list(String key) {
        String values = text(key, "");
        return values.isEmpty() ? List.of() : List.of(values.split(","));
    }

    /** The names of a list of objects, by their places in it. */
    public List<String> names(String key) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count(key + ".count"); i++) {
            names.add(text(key + "." + i + ".Name", ""));
        }
        return names;
    }

    private Gateway.RequestClass requestClass(String at) {
        long deadline = durationNanos(at + "Deadline");
        Gateway.Idempotency effect = switch (text(at + "Effect", "single_shot")) {
            case "free" -> Gateway.Idempotency.IDEMPOTENT;
            case "guarded" -> Gateway.Idempotency.KEYED;
            case "single_shot" -> Gateway.Idempotency.NOT_IDEMPOTENT;
            default -> throw malformed(at + "Effect");
        };
        Gateway.DedupScope group = switch (text(at + "DedupScope", "cell")) {
            case "all" -> Gateway.DedupScope.ALL;
            case "zone" -> Gateway.DedupScope.ZONE;
            default -> Gateway.DedupScope.CELL;
        };
        long aim = values.containsKey(at + "Aim") ? durationNanos(at + "Aim")
                : deadline > 0 ? deadline : LONGEST_DEADLINE;
        return new Gateway.RequestClass(Math.max(1, aim),
                number(at + "Worth", 1), number(at + "LateValue", 0), effect, group, durationNanos(at + "Window"));
    }

    private Gateway.Plan plan(String at) {
        return new Gateway.Plan(number(at + "PerSecond", 0), number(at + "Burst", 0), count(at + "MaxOut"),
                number(at + "NeverOverRate", 0), number(at + "HardBurst", 0), number(at + "HardSlack", 0),
                number(at + "ExcessCost", 0), number(at + "BeyondEarns", 0),
                number(at + "Pays", 1));
    }

    private String text(String key, String absent) {
        return values.getOrDefault(key, absent);
    }

    private int count(String key) {
        return count(key, 0);
    }

    private int count(String key, int absent) {
        double value = number(key, absent);
        if (value < 0 || value > 1_000_000) {
            throw malformed(key);
        }
        return (int) value;
    }

    /** A span of time in ns. */
    public long durationNanos(String key) {
        return (long) number(key, 0);
    }

    private double number(String key, double absent) {
        String value = values.get(key);
        if (value == null) {
            return absent;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw malformed(key);
        }
        throw malformed(key);
    }

    private InvalidInputException malformed(String key) {
        return new InvalidInputException("settings: malformed value '" + values.get(key) + "' of " + key);
    }
}
