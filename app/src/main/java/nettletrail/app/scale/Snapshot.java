package nettletrail.app.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What was counted up to a moment.
 *
 * @param hollow by process of hollow front doors, as {@link HollowDoors#stats} tells it
 * @param machines by machine set aside for control
 * @param realCpuNs by real front door
 */
record Snapshot(List<Map<?, ?>> hollow, List<Map<?, ?>> machines, List<Long> realCpuNs, long atNs) {
    /** A count by hollow front door. */
    List<Long> doors(String key) {
        List<Long> all = new ArrayList<>();
        hollow.forEach(each -> ((List<?>) each.get(key)).forEach(count -> all.add(((Number) count).longValue())));
        return all;
    }

    long sum(String key) {
        return doors(key).stream().mapToLong(each -> each).sum();
    }

    /** A count of each process of hollow front doors, summed. */
    long processes(String key) {
        return hollow.stream().mapToLong(each -> ((Number) each.get(key)).longValue()).sum();
    }

    /** A figure by machine. */
    List<Double> machine(String key) {
        return machines.stream().map(each -> ((Number) each.get(key)).doubleValue()).toList();
    }

    /** What came between an earlier moment and this one, by hollow front door. */
    List<Long> since(Snapshot earlier, String key) {
        List<Long> then = earlier.doors(key);
        List<Long> now = doors(key);
        List<Long> grown = new ArrayList<>();
        for (int i = 0; i < now.size(); i++) {
            grown.add(now.get(i) - then.get(i));
        }
        return grown;
    }

    /** The same by machine. */
    List<Double> machineSince(Snapshot earlier, String key) {
        List<Double> then = earlier.machine(key);
        List<Double> now = machine(key);
        List<Double> grown = new ArrayList<>();
        for (int i = 0; i < now.size(); i++) {
            grown.add(now.get(i) - then.get(i));
        }
        return grown;
    }

    double secondsSince(Snapshot earlier) {
        return (atNs - earlier.atNs()) / 1e9;
    }
}
