package nettletrail.app.scale;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import nettletrail.emulator.capacity.ProcessUse;
import nettletrail.site.StandInDiscovery;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Stand-in discovery in a process that the measure starts: one of the machines set aside for control. */
@Command(name = "scale-discovery", hidden = true, description = "Discovery of a measure.")
public final class DiscoveryProcess implements Callable<Integer> {
    @Option(names = "--plan", required = true, description = "doors,backends,seed,port")
    private String plan;

    /** For picocli. */
    public DiscoveryProcess() { }

    @Override
    public Integer call() throws Exception {
        FleetPlan fleet = HollowDoorsProcess.plan(plan);
        StandInDiscovery discovery = new StandInDiscovery(new NioEventLoopGroup(1).next(), fleet.entries());
        Orders.follow(discovery.address().getPort(), words -> switch (words.get(0)) {
            case "change" -> {
                long since = Long.parseLong(words.get(2));
                discovery.change(fleet.select(words.get(3)).stream().map(each -> fleet.entry(each, words.get(1), since))
                        .toList());
                yield true;
            }
            case "down", "up" -> {
                discovery.down(words.get(0).equals("down"));
                yield true;
            }
            case "stats" -> stats(discovery.counts());
            default -> throw new IllegalArgumentException("no such order");
        });
        return 0;
    }

    private static Map<String, Object> stats(StandInDiscovery.Counts counts) {
        Map<String, Object> stats = new LinkedHashMap<>();
        stats.put("bytes_in", counts.bytesIn());
        stats.put("bytes_out", counts.bytesOut());
        stats.put("calls", counts.calls());
        stats.put("whole_lists", counts.wholeLists());
        stats.put("watches", counts.watches());
        stats.put("index", counts.index());
        stats.put("process_ns", ProcessHandle.current().info().totalCpuDuration().map(each -> each.toNanos()).orElse(0L));
        stats.put("resident_mb", ProcessUse.residentMb(ProcessHandle.current().pid()));
        stats.put("peak_mb", ProcessUse.peakMb(ProcessHandle.current().pid()));
        stats.put("at_ns", System.nanoTime());
        return stats;
    }
}
