package nettletrail.limits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.core.Endpoint;
import nettletrail.core.SecretFile;
import nettletrail.core.SettingsSection;
import nettletrail.limits.LimitsDecider.Ceiling;

/**
 * {@code [limits]} of the operator file.
 *
 * @param ceilings by the plan's name; empty: those of the plans that have one in the settings
 * @param frontDoors 0: as many as the settings tell
 */
public record LimitsSettings(InetSocketAddress counter, String prefix, String passwordFile, Map<String, Ceiling> ceilings,
        int frontDoors, long leaseMs, long lossS, long idleS, int floorPct, long timeoutMs, int mostCalls,
        int mostCallsPerS, int mostCustomers) {
    public LimitsSettings {
        ceilings = Map.copyOf(ceilings);
    }

    /** The section's keys. */
    public static SettingsSection section() {
        return new SettingsSection("limits", "Ceilings that all front doors share through a counter (RESP3).")
                .flag("enabled", false, "whether ceilings are shared through a counter at all")
                .address("counter", "127.0.0.1:6379", "the counter's address")
                .text("prefix", 1, 64, "nettletrail", "of all keys there; one for each installation")
                .text("password_file", 0, 1_024, "", "file with the counter's password, for this user only; \"\" for none")
                .text("ceilings", 0, 4_096, "", "plans and their ceilings, as \"business=20/40,basic=5/10\": units a second"
                        + " and at once for each customer; \"\" for those in the settings")
                .integer("front_doors", 0, 4_096, 0, "front doors that share it; 0 for as many as the settings tell")
                .integer("lease_ms", 200, 60_000, 2_000, "ms for which leased units are good")
                .integer("loss_s", 1, 3_600, 120, "s for which a front door without the counter goes by its last share")
                .integer("idle_s", 1, 3_600, 30, "s without a request after which a customer's lease is given back")
                .integer("floor_pct", 1, 100, 25,
                        "percent of a ceiling that a customer's front doors have unheard, together")
                .integer("timeout_ms", 10, 5_000, 200, "ms after which a call has failed")
                .integer("most_calls", 1, 1_024, 32, "calls out at once")
                .integer("most_calls_per_s", 1, 100_000, 2_000, "calls a second")
                .integer("most_customers", 1, 1_000_000, 20_000,
                        "customers remembered at once; beyond, they are refused");
    }

    /** Rules between the values. */
    public static void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        if (values.text("counter").isEmpty() && values.flag("enabled")) {
            faults.accept(new SettingsSection.Fault("counter", "must name a counter where limits are enabled"));
        }
        if (values.integer("timeout_ms") * 4 > values.integer("lease_ms")) {
            faults.accept(new SettingsSection.Fault("timeout_ms",
                    "must be a quarter of lease_ms at most, or leases end while calls"
                    + " for the next are out"));
        }
        if (values.integer("idle_s") * 1_000 < values.integer("lease_ms")) {
            faults.accept(new SettingsSection.Fault("idle_s", "must be as long as lease_ms at least"));
        }
        try {
            ceilings(values.text("ceilings"));
        } catch (IllegalArgumentException e) {
            faults.accept(new SettingsSection.Fault("ceilings", e.getMessage()));
        }
        String file = values.text("password_file");
        if (values.flag("enabled") && !file.isEmpty()) {
            try {
                SecretFile.read(file);
            } catch (IOException e) {
                faults.accept(new SettingsSection.Fault("password_file", e.getMessage()));
            }
        }
    }

    public static LimitsSettings of(SettingsSection.Values values) {
        return new LimitsSettings(Endpoint.parseAddress(values.text("counter")), values.text("prefix"),
                values.text("password_file"), ceilings(values.text("ceilings")), (int) values.integer("front_doors"),
                values.integer("lease_ms"), values.integer("loss_s"), values.integer("idle_s"),
                        (int) values.integer("floor_pct"),
                values.integer("timeout_ms"), (int) values.integer("most_calls"),
                        (int) values.integer("most_calls_per_s"),
                (int) values.integer("most_customers"));
    }

    private static Map<String, Ceiling> ceilings(String text) {
        Map<String, Ceiling> ceilings = new LinkedHashMap<>();
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            String[] sides = part.strip().split("[=/]");
            try {
                if (sides.length != 3 || sides[0].isBlank()) {
                    throw new NumberFormatException();
                }
                Ceiling before = ceilings.put(sides[0].strip(), new Ceiling(Double.parseDouble(sides[1]),
                        Double.parseDouble(sides[2])));
                if (before != null) {
                    throw new IllegalArgumentException("names the plan " + sides[0].strip() + " twice; name it once");
                }
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("has '" + part.strip()
                        + "'; write PLAN=UNITS_A_SECOND/UNITS_AT_ONCE, as business=20/40", e);
            }
        }
        return ceilings;
    }
}
