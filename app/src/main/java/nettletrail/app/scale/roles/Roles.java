package nettletrail.app.scale.roles;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.emulator.capacity.Fit;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.emulator.capacity.Rounded;

/**
 * All roles one after the other within a given time: as many sizes as fit, a line through them, and what it says for the
 * fleet planned. One thread.
 */
public final class Roles {
    private static final int[] DOORS = {30, 60, 120, 240, MembersRole.PLANNED};
    private static final int[] FEW_DOORS = {8, 16, 32};
    private static final int BACKENDS = 7_500;
    private static final int TENANTS = 27_000;
    private static final int ROUTES = 13_000;
    private static final int CHANGES = 320;
    private static final double DAY_S = 86_400;
    private static final double MIB = 1 << 20;
    private static final int SHORT_S = 20;
    /** Parts of the time given. */
    private static final double MEMBERS = 0.6;
    private static final double LIMITS = 0.9;

    /** Figures in their order, and the budgets that the fleet planned for leaves, each with role and figure. */
    public record Told(Map<String, Object> figures, List<String> broken) { }

    private final double seconds;
    private final long seed;
    private final boolean shortForm;
    private final Budgets budgets;
    private final Budgets.Check check = new Budgets.Check();
    private final Map<String, Object> figures = new LinkedHashMap<>();

    /** @param seconds for all, 1 or more; below 20 in a short form of few small sizes, whose figures are no capacity */
    public Roles(double seconds, long seed, Budgets budgets) {
        this.seconds = seconds;
        this.seed = seed;
        this.budgets = budgets;
        shortForm = seconds < SHORT_S;
    }

    /** @throws Exception where a configuration made for this can't be written or read */
    public Told run() throws Exception {
        long startedAt = System.nanoTime();
        figures.put("seed", seed);
        figures.put("seconds", seconds);
        figures.put("short_form", shortForm);
        members();
        limits(new Gauge(seconds * LIMITS - (System.nanoTime() - startedAt) / 1e9));
        customers();
        settings();
        figures.put("took_s", Rounded.of((System.nanoTime() - startedAt) / 1e9));
        return new Told(figures, check.broken());
    }

    private static double number(Map<String, Object> row, String key) {
        return row.get(key) instanceof Number number ? number.doubleValue() : Double.NaN;
    }

    private static Fit fit(List<Map<String, Object>> rows, String x, String y) {
        List<Map<String, Object>> whole = rows.stream().filter(each -> !Double.isNaN(number(each, y))).toList();
        if (whole.size() < 2) {
            return null;
        }
        return Fit.of(whole.stream().mapToDouble(each -> number(each, x)).toArray(),
                whole.stream().mapToDouble(each -> number(each, y)).toArray());
    }

    /**
     * A line through all sizes but the planned one, its word for that, and what was measured there if it was.
     *
     * @return the figure at the planned size: measured, or else predicted; NaN for neither
     */
    private double predict(String name, List<Map<String, Object>> rows, String x, String y, double planned, double budget) {
        Fit line = fit(rows.stream().filter(each -> number(each, x) != planned).toList(), x, y);
        if (line == null) {
            return Double.NaN;
        }
        Map<String, Object> told = line.told();
        double predicted = line.at(planned);
        told.put("predicted", Rounded.of(predicted));
        double measured = rows.stream().filter(each -> number(each, x) == planned).mapToDouble(each -> number(each, y))
                .findFirst().orElse(Double.NaN);
        if (!Double.isNaN(measured)) {
            told.put("measured", Rounded.of(measured));
            told.put("predicted_error_pct", Rounded.of(Fit.errorPct(predicted, measured)));
        }
        // By the line through all that was measured: the nearest points say more of where the budget ends.
        Fit all = fit(rows, x, y);
        if (budget > 0) {
            told.put("leaves_budget_at", Rounded.of(all.reaches(budget)));
        }
        figures.put(name, told);
        return Double.isNaN(measured) ? predicted : measured;
    }

    // ---- Members -------------------------------------------------------------------------------------------

    private void members() {
        Gauge gauge = new Gauge(seconds * MEMBERS);
        MembersRole role = new MembersRole(gauge, seed, shortForm);
        List<Map<String, Object>> sizes = new ArrayList<>();
        role.warm();
        int before = 0;
        double took = 0;
        List<Integer> left = new ArrayList<>();
        for (int doors : shortForm ? FEW_DOORS : DOORS) {
            if (before == 0 || before < FEW_DOORS[2] || role.fits(doors, before, took)) {
                long at = System.nanoTime();
                sizes.add(role.size(doors));
                took = (System.nanoTime() - at) / 1e9;
                before = doors;
            } else {
                left.add(doors);
            }
        }
        List<Map<String, Object>> regions = new ArrayList<>();
        took = 0;
        for (int doors : shortForm ? FEW_DOORS : DOORS) {
            if (took == 0 || role.fits(doors, before, took)) {
                long at = System.nanoTime();
                regions.add(role.region(doors));
                took = (System.nanoTime() - at) / 1e9;
                before = doors;
            } else {
                left.add(-doors);
            }
        }
        figures.put("members", sizes);
        figures.put("members_region", regions);
        figures.put("members_sizes_left_out", left.stream().filter(each -> each > 0).toList());
        figures.put("members_region_sizes_left_out", left.stream().filter(each -> each < 0).map(each -> -each).toList());
        int planned = MembersRole.PLANNED;
        check.atMost("members, bytes sent a door at 480 doors, calm", predict("members_bytes_per_s_fit", sizes, "doors",
                "bytes_per_s", planned, budgets.bytesPerS()), budgets.bytesPerS(), "bytes/s");
        predict("members_datagram_bytes_per_s_fit", sizes, "doors", "datagram_bytes_per_s", planned, budgets.bytesPerS());
        check.atMost("members, processor a door at 480 doors, calm", predict("members_cpu_pct_fit", sizes, "doors", "cpu_pct",
                planned, budgets.cpuPct()), budgets.cpuPct(), "% of a core");
        check.atMost("members, state of a door at 480 doors", predict("members_state_bytes_fit", sizes, "doors", "state_bytes",
                planned, budgets.mb() * MIB) / MIB, budgets.mb(), "MB");
        double told = predict("members_killed_view_max_s_fit", sizes, "doors", "killed_view_max_s", planned, budgets.toldS());
        if (!Double.isNaN(told)) {
            check.atMost("members, last door to hold the view after 2 % died at 480 doors", told, budgets.toldS(), "s");
            predict("members_agree_bytes_per_view_by_square_fit", sizes, "doors_squared", "agree_bytes_per_view",
                    (double) planned * planned, 0);
            predict("members_agree_messages_per_view_fit", sizes, "doors", "agree_messages_per_view", planned, 0);
            predict("members_killed_peak_bytes_per_s_fit", sizes, "doors", "killed_peak_bytes_per_s", planned,
                    budgets.bytesPerS());
        }
        predict("members_back_peak_bytes_per_s_by_square_fit", regions, "doors_squared", "back_peak_bytes_per_s",
                (double) planned * planned, budgets.bytesPerS());
        predict("members_cut_peak_bytes_per_s_fit", regions, "doors", "cut_peak_bytes_per_s", planned, budgets.bytesPerS());
    }

    // ---- Counter and meter ---------------------------------------------------------------------------------

    private void limits(Gauge gauge) {
        LimitsRole role = new LimitsRole(seed);
        // One door at its share of the fleet's traffic, until it holds all that it will.
        List<Map<String, Object>> shares = new ArrayList<>();
        int[] tenants = shortForm ? new int[] {1_000, TENANTS} : new int[] {1_000, 3_000, 9_000, TENANTS};
        double warm = shortForm ? 4 : 35;
        double measured = shortForm ? 1 : 10;
        for (int each : tenants) {
            shares.add(role.fleet(1, MembersRole.PLANNED, each, LimitsRole.DOOR_PER_S, LimitsRole.ZIPF, warm, measured));
        }
        Map<String, Object> planned = shares.get(shares.size() - 1);
        shares.add(role.fleet(1, MembersRole.PLANNED, TENANTS, LimitsRole.DOOR_PER_S, 0, warm, measured));
        figures.put("limits_door_share", shares);
        rows(role, planned);
        fleets(gauge, role);
        double seen = LimitsRole.seen(TENANTS, LimitsRole.DOOR_PER_S, LimitsRole.IDLE_S, LimitsRole.ZIPF);
        figures.put("limits_accounts_a_door_by_formula", Rounded.of(seen));
        double perAccount = number(planned, "sent_bytes_per_s_a_door") / number(planned, "accounts_a_door");
        figures.put("limits_sent_bytes_per_s_an_account", Rounded.of(perAccount));
        figures.put("limits_accounts_a_door_in_budget", Rounded.of(budgets.bytesPerS() / perAccount));
        int customers = shortForm ? 1_000 : 20_000;
        double kept = LimitsRole.doorBytes(customers);
        figures.put("limits_door_bytes_a_customer", Rounded.of(kept));
        figures.put("limits_counter_heap_bytes_a_customer_and_door", Rounded.of(role.counterBytes(shortForm ? 100 : 500, 30)));
        mostCustomers();
        String where = "limits, a door at 62.5 requests/s of 27,000 tenants";
        check.atMost(where + ", sent", number(planned, "sent_bytes_per_s_a_door"), budgets.bytesPerS(), "bytes/s");
        check.atMost(where + ", processor", number(planned, "door_cpu_pct"), budgets.cpuPct(), "% of a core");
        check.atMost(where + ", memory", seen * kept / MIB, budgets.mb(), "MB");
    }

    /** What a row costs the counter by its customer's doors, and the cores that follow; it runs scripts one at a time. */
    private void rows(LimitsRole role, Map<String, Object> planned) {
        int[] holders = shortForm ? new int[] {1, 8} : new int[] {1, 3, 30, 120, MembersRole.PLANNED};
        role.rowUs(holders[1], shortForm ? 0.1 : 1);
        double[] x = new double[holders.length];
        double[] y = new double[holders.length];
        List<Map<String, Object>> told = new ArrayList<>();
        for (int i = 0; i < holders.length; i++) {
            x[i] = holders[i];
            y[i] = role.rowUs(holders[i], shortForm ? 0.1 : Math.max(0.4, seconds / 200));
            told.add(new LinkedHashMap<>(Map.of("holders", holders[i], "us_a_row", Rounded.of(y[i]))));
        }
        Fit line = Fit.of(x, y);
        figures.put("counter_row_us", told);
        figures.put("counter_row_us_fit", line.told());
        double rowsAnAccount = number(planned, "rows_per_s_an_account");
        double cores = LimitsRole.counterCores(MembersRole.PLANNED, TENANTS, rowsAnAccount, line);
        figures.put("counter_cores_predicted", Rounded.of(cores));
        int one = 1;
        while (one < MembersRole.PLANNED && LimitsRole.counterCores(one, TENANTS, rowsAnAccount, line) <= 1) {
            one++;
        }
        figures.put("counter_one_core_up_to_doors", one - 1);
        // Its script is one thread's work, and all keys carry one hash tag: further cores or nodes don't help it.
        check.atMost("counter, at 480 doors and 27,000 tenants (its script played by a Lua interpreter in Java)", cores,
                budgets.counterCores(), "cores of one thread");
    }

    /** Fleets of real deciders at each door's share, as long as there is time. */
    private void fleets(Gauge gauge, LimitsRole role) {
        List<Map<String, Object>> fleets = new ArrayList<>();
        List<Integer> left = new ArrayList<>();
        int[] doors = shortForm ? new int[] {3} : new int[] {3, 30, 120, MembersRole.PLANNED};
        for (int each : doors) {
            // Virtual time of which the real one is a part of what is left: rows grow with its square until idle_s.
            double tenants = Math.max(1_000, TENANTS * each / (double) MembersRole.PLANNED);
            double part = gauge.leftS() / 4;
            double warm = Math.min(35, Math.sqrt(Math.max(0.3, part) * 2 / (each * LimitsRole.DOOR_PER_S * 1.5e-4)));
            if (shortForm) {
                warm = 2;
            } else if (warm < 1.5) {
                left.add(each);
                continue;
            }
            fleets.add(role.fleet(each, each, (int) tenants, each * LimitsRole.DOOR_PER_S, LimitsRole.ZIPF, warm * 0.8,
                    Math.max(0.5, warm * 0.2)));
        }
        figures.put("limits_fleets", fleets);
        figures.put("limits_fleets_left_out", left);
    }

    /** By formula: the requests a second at one door from which on it sees more customers in idle_s than it may remember. */
    private void mostCustomers() {
        int most = CounterFleet.Setting.USUAL.mostCustomers();
        double perS = 1;
        while (perS < 1e6 && LimitsRole.seen(TENANTS, perS, LimitsRole.IDLE_S, LimitsRole.ZIPF) <= most) {
            perS *= 1.02;
        }
        figures.put("limits_most_customers_left_at_requests_per_s_a_door", Rounded.of(perS));
        figures.put("limits_most_customers_left_at_doors_or_fewer", (int) (30_000 / perS));
    }

    // ---- What a door remembers, settings and lists ---------------------------------------------------------

    private void customers() {
        CustomersRole role = new CustomersRole(seed);
        List<Map<String, Object>> sizes = new ArrayList<>();
        for (int customers : shortForm ? new int[] {500, 1_000, 2_000} : new int[] {1_000, 5_000, 13_500, TENANTS}) {
            sizes.add(role.size(customers, shortForm ? 0.05 : Math.max(0.3, seconds / 100)));
        }
        figures.put("customers", sizes);
        figures.put("customers_sweep_us_a_request", Rounded.of(role.sweepUs(shortForm ? 2_000 : TENANTS)));
        check.atMost("front door, customers remembered, all 27,000", predict("customers_bytes_fit", sizes, "customers", "bytes",
                TENANTS, budgets.mb() * MIB) / MIB, budgets.mb(), "MB");
        predict("customers_us_a_request_fit", sizes, "customers", "us_a_request", TENANTS, 0);
    }

    private void settings() throws Exception {
        List<Map<String, Object>> lists = new ArrayList<>();
        for (int backends : shortForm ? new int[] {100, 470} : new int[] {470, 1_875, 3_750, BACKENDS}) {
            lists.add(SettingsRole.listed(backends));
        }
        figures.put("lists", lists);
        predict("list_bytes_fit", lists, "backends", "bytes", BACKENDS, SettingsRole.MOST_LIST_BYTES);
        predict("list_parse_cpu_ms_fit", lists, "backends", "parse_cpu_ms", BACKENDS, 0);
        figures.put("list_too_long_at_backends", SettingsRole.mostBackends());
        List<Map<String, Object>> configured = new ArrayList<>();
        for (int plans : shortForm ? new int[] {10, 100} : new int[] {10, 1_000, 9_000, TENANTS}) {
            configured.add(SettingsRole.configured(plans, shortForm ? 100 : BACKENDS));
        }
        figures.put("configurations", configured);
        predict("configuration_bytes_fit", configured, "plans", "bytes", TENANTS, 0);
        predict("configuration_read_cpu_ms_fit", configured, "plans", "read_cpu_ms", TENANTS, 0);
        double kept = predict("configuration_kept_bytes_fit", configured, "plans", "kept_bytes", TENANTS, budgets.mb() * MIB);
        check.atMost("configuration, 27,000 plans and the list as last held, memory", kept / MIB, budgets.mb(), "MB");
        double route = 0;
        double tenant = 0;
        for (int i = 0; i < ROUTES; i++) {
            route += (1 + SettingsRole.route(i).length()) / (double) ROUTES;
            tenant += (1 + SettingsRole.tenant(i).length()) / (double) ROUTES;
        }
        figures.put("assumed_bytes_a_route", Rounded.of(route));
        figures.put("assumed_bytes_a_tenant", Rounded.of(tenant));
        double whole = route * ROUTES + tenant * TENANTS;
        figures.put("assumed_whole_configuration_bytes", Rounded.of(whole));
        figures.put("assumed_whole_configurations_bytes_per_s_a_door", Rounded.of(whole * CHANGES / DAY_S));
        check.atMost("configuration, whole files of routes and tenants at 320 changes a day (assumed form), received",
                whole * CHANGES / DAY_S, budgets.bytesPerS(), "bytes/s");
    }
}
