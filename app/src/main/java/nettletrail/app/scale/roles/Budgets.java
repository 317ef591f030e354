package nettletrail.app.scale.roles;

import java.util.ArrayList;
import java.util.List;

/**
 * What a front door may spend on control, and who went beyond it.
 *
 * @param cpuPct percent of a core
 * @param mb of memory, 2^20 bytes each
 * @param bytesPerS sent
 * @param toldS from a change to when it is in force everywhere
 * @param counterCores of the counter's one thread
 */
public record Budgets(double cpuPct, double mb, double bytesPerS, double toldS, double counterCores) {
    /** Those of the fleet designed for. */
    public static final Budgets PLAN = new Budgets(2.2, 64, 3_000, 19, 1);

    /** Collects what is over; one thread. */
    static final class Check {
        private final List<String> broken = new ArrayList<>();

        /** @param where the role and the size that the figure belongs to, and whether it was measured or is predicted */
        void atMost(String where, double figure, double budget, String unit) {
            if (!(figure <= budget)) {
                broken.add(String.format(java.util.Locale.ROOT, "%s: %.4g %s, budget %.4g", where, figure, unit, budget));
            }
        }

        List<String> broken() {
            return List.copyOf(broken);
        }
    }
}
