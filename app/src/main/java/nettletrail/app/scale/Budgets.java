package nettletrail.app.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the plan lets a front door and its control spend. */
final class Budgets {
    /** The most by figure. */
    static final Map<String, Double> MOST = most();

    private Budgets() { }

    private static Map<String, Double> most() {
        Map<String, Double> most = new LinkedHashMap<>();
        most.put("control_cpu_pct", 2.2);
        most.put("control_mb", 64.0);
        most.put("control_bytes_per_s", 3_000.0);
        most.put("told_max_s", 19.0);
        most.put("added_p99_ms", 5.6);
        most.put("machines", 3.0);
        return most;
    }

    /** The budgets broken by these figures, each with its name, the figure and the budget; a figure that isn't there breaks it too. */
    static List<String> broken(Map<String, Object> figures) {
        List<String> broken = new ArrayList<>();
        MOST.forEach((name, most) -> {
            if (!(figures.get(name) instanceof Number figure)) {
                broken.add(name + " was not measured");
            } else if (!(figure.doubleValue() <= most)) {
                broken.add(name + " is " + figure + ", over " + most);
            }
        });
        return broken;
    }
}
