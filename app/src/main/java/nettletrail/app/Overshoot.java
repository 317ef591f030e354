package nettletrail.app;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.site.Events;
import nettletrail.site.FillingStore;

/** How far beyond a ceiling customers were let in, by what ran at the backends: they know nothing of front doors. */
final class Overshoot {
    private Overshoot() { }

    /** Units beyond the ceiling of the customer that was let in most beyond it; each id takes its units once. */
    static double units(List<Events.Event> events, double ratePerS, double burst) {
        Map<String, Events.Sent> sent = new HashMap<>();
        List<Events.Ran> runs = new ArrayList<>();
        for (Events.Event event : events) {
            if (event instanceof Events.Sent each) {
                sent.putIfAbsent(each.id(), each);
            } else if (event instanceof Events.Ran each) {
                runs.add(each);
            }
        }
        runs.sort(Comparator.comparingLong(Events.Ran::atNs));
        Map<String, FillingStore> stores = new HashMap<>();
        double worst = 0;
        for (Events.Ran run : runs) {
            Events.Sent request = sent.remove(run.id()); // a further attempt takes nothing more
            if (request != null) {
                FillingStore store = stores.computeIfAbsent(request.customer(),
                        id -> new FillingStore(ratePerS, burst, run.atNs()));
                worst = Math.max(worst, -store.draw(run.atNs(), request.units()));
            }
        }
        return worst;
    }
}
