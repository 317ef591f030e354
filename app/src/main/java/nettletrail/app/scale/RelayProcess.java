package nettletrail.app.scale;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import nettletrail.site.BareRelay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The floor beside the real front doors: a bare relay to the same backends, in a process that the measure starts. */
@Command(name = "scale-relay", hidden = true, description = "A bare relay of a measure.")
public final class RelayProcess implements Callable<Integer> {
    @Option(names = "--plan", required = true, description = "doors,backends,seed,port")
    private String plan;

    /** For picocli. */
    public RelayProcess() { }

    @Override
    public Integer call() throws Exception {
        FleetPlan fleet = HollowDoorsProcess.plan(plan);
        BareRelay relay = new BareRelay(IntStream.range(0, fleet.backends())
                .mapToObj(each -> new InetSocketAddress(fleet.host(each), fleet.port())).toList());
        Orders.follow(relay.port(), words -> Map.of());
        return 0;
    }
}
