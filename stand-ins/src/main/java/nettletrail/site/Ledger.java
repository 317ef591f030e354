package nettletrail.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What ran at the backends, in order of time. Any thread. */
public final class Ledger {
    /**
     * A request that came whole to a backend and was begun.
     *
     * @param id its {@code X-Txn}
     * @param unsafe it must not run twice
     * @param units that it takes from its customer's quota
     * @param atNs {@link System#nanoTime} when its last byte had come
     */
    public record Run(String id, boolean unsafe, String plan, String customer, double units, long atNs, String node) { }

    private final List<Run> runs = new ArrayList<>();

    synchronized void ran(Run run) {
        runs.add(run);
    }

    /** Begins anew. */
    public synchronized void clear() {
        runs.clear();
    }

    /** All so far. */
    public synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Ids that must not run twice and did. */
    public synchronized Set<String> ranTwice() {
        Set<String> seen = new HashSet<>();
        Set<String> twice = new HashSet<>();
        for (Run run : runs) {
            if (run.unsafe() && !seen.add(run.id())) {
                twice.add(run.id());
            }
        }
        return twice;
    }

    /** How often an id ran. */
    public synchronized long timesRun(String id) {
        return runs.stream().filter(run -> run.id().equals(id)).count();
    }

    /**
     * How far the customers of a plan went below nothing in a store that fills at a rate, in units; each id takes its
     * units once, when it first ran. 0 if none did.
     *
     * @param rate units a second
     * @param burst units that the store holds, full at first
     */
    public synchronized double worstBelowNothing(String plan, double rate, double burst) {
        Map<String, FillingStore> stores = new HashMap<>();
        Set<String> seen = new HashSet<>();
        double worst = 0;
        for (Run run : runs) {
            if (!run.plan().equals(plan) || !seen.add(run.id())) {
                continue;
            }
            FillingStore store = stores.computeIfAbsent(run.customer(), id -> new FillingStore(rate, burst, run.atNs()));
            worst = Math.min(worst, store.draw(run.atNs(), run.units()));
        }
        return -worst;
    }
}
