package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import nettletrail.faults.FaultControl;
import nettletrail.faults.FaultLog;
import nettletrail.faults.FaultRelay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The fault relay for people: runs until it is ended; each fault done is a line of JSON on standard output. */
@Command(name = "faults", mixinStandardHelpOptions = true,
        description = "A relay between sockets of this machine that breaks them on command (docs/operate/faults.md).")
final class Faults implements Callable<Integer> {
    @Option(names = "--listen", paramLabel = "IP:PORT", description = "Where to listen; port 0 for any.")
    private String listen;
    @Option(names = "--to", paramLabel = "IP:PORT", description = "Where to connect on to.")
    private String to;
    @Option(names = "--control", paramLabel = "IP:PORT", description = "Where to take orders over HTTP.")
    private String control;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "For all draws.")
    private long seed;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        String fault = listen == null && control == null ? "--listen or --control is needed"
                : listen != null && to == null ? "--to is needed with --listen"
                : wrong("--listen", listen) + wrong("--to", to) + wrong("--control", control);
        if (!fault.isEmpty()) {
            spec.commandLine().getErr().println("faults: " + fault.strip());
            return App.UNUSABLE;
        }
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        FaultLog log = new FaultLog(line -> {
            System.out.println(line);
            System.out.flush();
        });
        try {
            FaultRelay relay = listen == null ? null : FaultRelay.start("relay", group, FaultControl.address(listen),
                    FaultControl.address(to), seed, log);
            if (relay != null) {
                System.err.println("faults: relay listens on " + text(relay.address()) + ", connects on to " + to);
            }
            InetSocketAddress at = control == null ? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
                    : FaultControl.address(control);
            FaultControl orders = new FaultControl(group, at, seed, log);
            if (relay != null) {
                orders.add(relay);
            }
            System.err.println("faults: control on " + text(orders.address()));
        } catch (IllegalArgumentException e) {
            group.shutdownGracefully();
            spec.commandLine().getErr().println("faults: " + e.getMessage());
            return App.UNUSABLE;
        }
        Thread.currentThread().join();
        return 0;
    }

    private static String wrong(String option, String value) {
        return value == null || FaultControl.address(value) != null ? ""
                : option + ": '" + value + "' must be IP:PORT of this machine's loopback. ";
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
