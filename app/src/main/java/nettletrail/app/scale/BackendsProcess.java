package nettletrail.app.scale;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import nettletrail.site.AnsweringBackends;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** All backends of a plan on sockets, for the front doors that are real, in a process that the measure starts. */
@Command(name = "scale-backends", hidden = true, description = "Backends of a measure.")
public final class BackendsProcess implements Callable<Integer> {
    @Option(names = "--plan", required = true, description = "doors,backends,seed,port; the port is chosen here")
    private String plan;

    /** For picocli. */
    public BackendsProcess() { }

    @Override
    public Integer call() throws Exception {
        FleetPlan fleet = HollowDoorsProcess.plan(plan);
        AnsweringBackends backends = new AnsweringBackends(new NioEventLoopGroup(1).next(),
                IntStream.range(0, fleet.backends()).mapToObj(fleet::host).toList(), FleetPlan::answerNs);
        Orders.follow(backends.port(), words -> switch (words.get(0)) {
            case "down" -> {
                fleet.select(words.get(1)).forEach(each -> backends.down(fleet.host(each)));
                yield true;
            }
            case "up" -> fleet.select(words.get(1)).stream().filter(each -> !backends.up(fleet.host(each))).count();
            case "stats" -> Map.of("accepted", backends.accepted(), "requests", backends.requests());
            default -> throw new IllegalArgumentException("no such order");
        });
        return 0;
    }
}
