package nettletrail.app.members;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import nettletrail.app.processes.EventLog.Event;

/**
 * Holds what members said against what they promise, whatever was done to them: it knows no schedule, and compares no clocks
 * of two processes.
 *
 * <ol>
 * <li>one view of each number, and each follows from the one before it by its majority;
 * <li>who was stopped accuses nobody in the period behind its waking;
 * <li>a life that was surely gone is in no later view.
 * </ol>
 */
public final class MembersJudge {
    /** ns behind a pause in which nothing is concluded: the usual period, less what a tick is late. */
    private static final long QUIET_NS = 300_000_000L;

    private MembersJudge() { }

    /** All broken promises; each names the first event at which it broke. */
    public static List<String> broken(List<Event> events) {
        List<String> broken = new ArrayList<>();
        TreeMap<Long, String> views = new TreeMap<>();
        Map<String, Long> surelyGone = new TreeMap<>();
        Map<String, Long> pausedAt = new TreeMap<>();
        for (Event event : events) {
            String process = event.process() + "." + event.start();
            switch (event.kind()) {
                case "members.view" -> {
                    long number = Long.parseLong(event.field("number"));
                    String before = views.putIfAbsent(number, event.field("lives"));
                    if (before != null && !before.equals(event.field("lives"))) {
                        broken.add("two views of number " + number + ": " + before + " and at " + event);
                    }
                }
                case "members.contradiction" -> broken.add("contradiction at " + event);
                case "members.surely_gone" -> surelyGone.merge(event.field("who") + "/"
                        + Long.toHexString(Long.parseLong(event.field("life"))), Long.parseLong(event.field("view")), Math::min);
                case "members.paused" -> pausedAt.put(process, Long.parseLong(event.field("ns")));
                case "members.suspect", "members.gone" -> {
                    Long paused = pausedAt.get(process);
                    boolean own = event.field("by").equals("n" + event.process());
                    if (own && paused != null && Long.parseLong(event.field("ns")) - paused < QUIET_NS) {
                        broken.add("accused by one that had just been stopped: " + event);
                    }
                }
                default -> { }
            }
        }
        follow(views, surelyGone, broken);
        return broken;
    }

    private static void follow(TreeMap<Long, String> views, Map<String, Long> surelyGone, List<String> broken) {
        for (Map.Entry<Long, String> each : views.entrySet()) {
            Set<String> now = lives(each.getValue());
            Map.Entry<Long, String> before = views.lowerEntry(each.getKey());
            if (before != null && before.getKey() + 1 == each.getKey()) {
                Set<String> both = lives(before.getValue());
                int majority = both.size() / 2 + 1;
                both.retainAll(now);
                if (both.size() < majority) {
                    broken.add("view " + each.getKey() + " " + now + " holds no majority of the one before it");
                }
            }
            for (String life : now) {
                if (surelyGone.getOrDefault(life, Long.MAX_VALUE) < each.getKey()) {
                    broken.add(life + " is in view " + each.getKey() + " and was surely gone by view " + surelyGone.get(life));
                }
            }
        }
    }

    private static Set<String> lives(String text) {
        Set<String> lives = new HashSet<>();
        for (String each : text.replaceAll("[\\[\\] ]", "").split(",")) {
            if (!each.isEmpty()) {
                lives.add(each);
            }
        }
        return lives;
    }
}
