package nettletrail.app.scale.roles;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.counter.CounterStore;
import nettletrail.emulator.capacity.Fit;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.emulator.capacity.Rounded;
import nettletrail.limits.LeaseScript;
import nettletrail.limits.LimitsDecider.Call;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsDecider.Row;
import nettletrail.limits.LimitsDecider.Terms;
import nettletrail.limits.LimitsDecider;

/** The counter and the doors' leases: calls, bytes, processor time and state, by doors and tenants. */
final class LimitsRole {
    /** Requests a second of one door where 480 doors have 30,000. */
    static final double DOOR_PER_S = 62.5;
    /** Assumed: the n-th largest tenant asks for 1/n of what the largest does. */
    static final double ZIPF = 1;
    private static final long SECOND = 1_000_000_000L;
    private static final double PERCENT = 100;
    private static final int ROWS = 32;
    /** Of the usual settings: so long after its last request a customer is let go. */
    static final int IDLE_S = 30;

    private final long seed;

    LimitsRole(long seed) {
        this.seed = seed;
    }

    /**
     * A fleet for so long, of which the last part is measured.
     *
     * @param warmS virtual s before; doors hold all that they will hold after idle_s, 30 s
     */
    Map<String, Object> fleet(int doors, int set, int tenants, double perS, double zipf, double warmS, double measuredS) {
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("doors", doors);
        told.put("set", set);
        told.put("tenants", tenants);
        told.put("zipf", zipf);
        told.put("requests_per_s", Rounded.of(perS));
        told.put("warm_s", Rounded.of(warmS));
        CounterFleet fleet = new CounterFleet(seed, doors, set, tenants, perS, zipf, CounterFleet.Setting.USUAL);
        fleet.run((long) (warmS * SECOND));
        fleet.clear();
        long cpu = Gauge.cpuNs();
        fleet.run((long) (measuredS * SECOND));
        double doorsNs = Gauge.cpuNs() - cpu - fleet.counterNs;
        double doorS = doors * measuredS;
        told.put("accounts_a_door", Rounded.of(fleet.accounts()));
        told.put("calls_per_s", Rounded.of((fleet.calls + fleet.beats) / measuredS));
        told.put("calls_per_s_a_door", Rounded.of(fleet.calls / doorS));
        told.put("rows_per_s", Rounded.of(fleet.rows / measuredS));
        told.put("rows_per_s_a_door", Rounded.of(fleet.rows / doorS));
        told.put("rows_per_s_an_account", Rounded.of(fleet.rows / doorS / fleet.accounts()));
        told.put("rows_a_call", Rounded.of(fleet.rows / (double) Math.max(1, fleet.calls)));
        told.put("sent_bytes_per_s_a_door", Rounded.of(fleet.sentBytes / doorS));
        told.put("received_bytes_per_s_a_door", Rounded.of(fleet.answeredBytes / doorS));
        told.put("counter_us_a_call", Rounded.of(fleet.counterNs / 1e3 / Math.max(1, fleet.calls + fleet.beats)));
        told.put("counter_us_a_row", Rounded.of(fleet.counterNs / 1e3 / Math.max(1, fleet.rows)));
        told.put("counter_cores", Rounded.of(fleet.counterNs / measuredS / SECOND));
        told.put("door_cpu_pct", Rounded.of(PERCENT * doorsNs / doorS / SECOND));
        if (doors == set) {
            // Where doors of the set aren't played, the counter holds back their shares: nothing to tell of real ones.
            told.put("let_at_once_share", Rounded.of(fleet.let / (double) Math.max(1, fleet.requests)));
        }
        told.put("refused_for_most_customers", fleet.unknown());
        told.put("counter_keys", fleet.counter().size());
        told.put("counter_text_bytes", fleet.counter().bytes());
        return told;
    }

    /** Customers that a door sees within a time, mean, where requests come by Zipf's law and Poisson's. */
    static double seen(int tenants, double perS, double seconds, double zipf) {
        double sum = 0;
        for (int i = 1; i <= tenants; i++) {
            sum += Math.pow(i, -zipf);
        }
        double seen = 0;
        for (int i = 1; i <= tenants; i++) {
            seen -= Math.expm1(-perS * seconds * Math.pow(i, -zipf) / sum);
        }
        return seen;
    }

    /**
     * Cores that the counter needs where a row takes {@code rowUs} by its customer's doors, and each door calls for each
     * customer that it holds so often.
     */
    static double counterCores(int doors, int tenants, double rowsAnAccount, Fit rowUs) {
        double sum = 0;
        for (int i = 1; i <= tenants; i++) {
            sum += Math.pow(i, -ZIPF);
        }
        double us = 0;
        for (int i = 1; i <= tenants; i++) {
            double holders = -doors * Math.expm1(-DOOR_PER_S * IDLE_S * Math.pow(i, -ZIPF) / sum);
            us += rowsAnAccount * holders * rowUs.at(Math.max(1, holders));
        }
        return us / 1e6;
    }

    /** µs of processor time for a row, by how many front doors hold the same customer. */
    double rowUs(int holders, double seconds) {
        long[] ms = {1_700_000_000_000L};
        CounterStore counter = new CounterStore(() -> ms[0]);
        counter.load("lease", LeaseScript.TEXT);
        long number = 0;
        int epochs = 0;
        for (int door = 0; door < holders; door++) {
            eval(counter, door, holders, ++number, ++epochs);
        }
        long until = System.nanoTime() + (long) (seconds * SECOND / 2);
        int door = 0;
        while (System.nanoTime() < until) {
            ms[0]++;
            eval(counter, door++ % holders, holders, ++number, ++epochs);
        }
        long calls = 0;
        long cpu = Gauge.cpuNs();
        until = System.nanoTime() + (long) (seconds * SECOND / 2);
        while (System.nanoTime() < until) {
            // No front door's row becomes old: what is measured is one customer that all of these hold.
            ms[0] += calls % 8 == 0 ? 1 : 0;
            eval(counter, door++ % holders, holders, ++number, ++epochs);
            calls++;
        }
        return (Gauge.cpuNs() - cpu) / 1e3 / calls / ROWS;
    }

    /** One call of one front door for as many customers as one call holds; each of them is held by all these doors. */
    private static void eval(CounterStore counter, int door, int holders, long number, int epoch) {
        Terms terms = new Terms("n" + door + "/1", 2 * SECOND, 120 * SECOND, 30 * SECOND, SECOND / 2, 0.25, holders, 32, 2_000,
                20_000);
        List<Row> rows = new ArrayList<>();
        for (int customer = 0; customer < ROWS; customer++) {
            rows.add(new Row(customer, number * ROWS + customer, 0, 0, 2_000, 1_000, holders, 20_000, 40_000,
                    250_000 / holders, false));
        }
        Call call = new Call("", 0, rows);
        counter.eval("lease", LeaseScript.keys("nettletrail", rows), LeaseScript.arguments(terms, call, "e" + epoch));
    }

    /** Bytes that a door keeps of each customer. */
    static double doorBytes(int customers) {
        return Gauge.keptBytes(() -> {
            LimitsDecider decider = new LimitsDecider(new Terms("n0/1", 2 * SECOND, 120 * SECOND, 30 * SECOND, SECOND / 2, 0.25,
                    PLANNED_DOORS, 32, 2_000, 1_000_000), 0, new Silent());
            for (int i = 0; i < customers; i++) {
                decider.take(1, i, new Ceiling(20, 40), PLANNED_DOORS, 1);
            }
            return decider;
        }) / customers;
    }

    /** Bytes of heap that the counter (the one played here) keeps of each customer and front door. */
    double counterBytes(int customers, int holders) {
        return Gauge.keptBytes(() -> {
            CounterStore counter = new CounterStore(() -> 1_700_000_000_000L);
            counter.load("lease", LeaseScript.TEXT);
            long number = 0;
            for (int door = 0; door < holders; door++) {
                Terms terms = new Terms("n" + door + "/1", 2 * SECOND, 120 * SECOND, 30 * SECOND, SECOND / 2, 0.25, holders,
                        32, 2_000, 20_000);
                for (int from = 0; from < customers; from += ROWS) {
                    List<Row> rows = new ArrayList<>();
                    for (int customer = from; customer < Math.min(customers, from + ROWS); customer++) {
                        rows.add(new Row(customer * 0x9e3779b97f4a7c15L, ++number, 0, 0, 2_000, 1_000, holders, 20_000, 40_000,
                                250_000 / holders, false));
                    }
                    counter.eval("lease", LeaseScript.keys("nettletrail", rows), LeaseScript.arguments(terms,
                            new Call("", 0, rows), "e" + number));
                }
            }
            return counter;
        }) / (double) (customers * holders);
    }

    private static final int PLANNED_DOORS = 480;

    private static final class Silent implements LimitsDecider.Actions {
        @Override
        public void call(Call call) { }

        @Override
        public void beat(Call call) { }

        @Override
        public void log(String line) { }
    }
}
