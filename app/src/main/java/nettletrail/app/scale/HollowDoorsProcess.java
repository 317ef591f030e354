package nettletrail.app.scale;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import nettletrail.core.Endpoint;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.door.FrontDoorConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Many hollow front doors, in a process that the measure starts. */
@Command(name = "hollow-doors", hidden = true, description = "Hollow front doors of a measure.")
public final class HollowDoorsProcess implements Callable<Integer> {
    @Option(names = "--plan", required = true, description = "doors,backends,seed,port")
    private String plan;
    @Option(names = "--first", required = true)
    private int first;
    @Option(names = "--count", required = true)
    private int count;
    @Option(names = "--driven", required = true)
    private int driven;
    @Option(names = "--sockets", required = true)
    private int sockets;
    @Option(names = "--agents", required = true, split = ",")
    private List<String> agents;
    @Option(names = "--configs", required = true, description = "Folder with zoneN.json.")
    private Path configs;
    @Option(names = "--mechanism", required = true)
    private Mechanism mechanism;

    /** For picocli. */
    public HollowDoorsProcess() { }

    /** What a plan is told as on a command line. */
    static String text(FleetPlan plan) {
        return plan.doors() + "," + plan.backends() + "," + plan.seed() + "," + plan.port();
    }

    static FleetPlan plan(String text) {
        String[] parts = text.split(",");
        return new FleetPlan(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Long.parseLong(parts[2]),
                Integer.parseInt(parts[3]));
    }

    /** The settings by zone, as a front door reads them. */
    static List<GatewaySettingsReader> readers(Path configs) throws FrontDoorConfig.InvalidConfigException {
        List<GatewaySettingsReader> readers = new ArrayList<>();
        for (int zone = 0; zone < FleetPlan.ZONES; zone++) {
            readers.add(FrontDoorConfig.read(Map.of("EDGE_NAME", "hollow", "EDGE_LISTEN", "127.0.0.1:0",
                    "EDGE_DISCOVERY",
                    "127.0.0.1:1", "EDGE_CONFIG", configs.resolve("zone" + zone + ".json").toString())).settings());
        }
        return readers;
    }

    @Override
    public Integer call() throws Exception {
        List<InetSocketAddress> at = agents.stream().map(Endpoint::parseAddress).toList();
        HollowDoors doors = new HollowDoors(plan(plan), first, sockets, readers(configs), at, mechanism);
        Orders.follow("ready", words -> switch (words.get(0)) {
            case "start" -> {
                doors.start(count, driven);
                yield count;
            }
            case "restart" -> {
                doors.restart(Integer.parseInt(words.get(1)));
                yield true;
            }
            case "down", "up" -> {
                doors.down(words.get(1), words.get(0).equals("down"));
                yield true;
            }
            case "pause", "go" -> {
                doors.paused(words.get(0).equals("pause"));
                yield true;
            }
            case "told" -> doors.told(Long.parseLong(words.get(1)));
            case "stats" -> doors.stats();
            case "sends" -> doors.sends();
            case "memory" -> doors.doorMb();
            default -> throw new IllegalArgumentException("no such order");
        });
        return 0;
    }
}
