package nettletrail.app.processes;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import nettletrail.faults.DatagramRelay;
import nettletrail.faults.DatagramRelay.Weather;
import nettletrail.faults.FaultLog;
import nettletrail.faults.FaultRelay;
import nettletrail.faults.Toxic;

/**
 * The links between doors: for each ordered pair a relay for datagrams and one for connections on the same port, so that each
 * pair and each direction fails by itself. A cut is silent: connections stay open and say nothing, and what lies in them goes
 * on when the cut ends.
 */
public final class Mesh implements AutoCloseable {
    private static final int TRIES = 50;
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private record Way(DatagramRelay datagrams, FaultRelay connections) { }

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final List<List<Way>> ways = new ArrayList<>();
    private final Weather[][] weather;

    /** @param doors how many; relays lead nowhere until they are pointed */
    public Mesh(int doors, long seed) {
        weather = new Weather[doors][doors];
        for (int from = 0; from < doors; from++) {
            ways.add(new ArrayList<>());
            for (int to = 0; to < doors; to++) {
                ways.get(from).add(from == to ? null : way(from, to, seed * 1_000 + from * doors + to));
                weather[from][to] = Weather.FAIR;
            }
        }
    }

    private Way way(int from, int to, long seed) {
        for (int i = 0; i < TRIES; i++) {
            FaultRelay connections = FaultRelay.start("n" + from + "-n" + to, group, ANY, ANY, seed, new FaultLog());
            DatagramRelay datagrams = DatagramRelay.start(group, connections.address(), seed);
            if (datagrams != null) {
                return new Way(datagrams, connections);
            }
            connections.close();
        }
        throw new IllegalStateException("no port that is free for datagrams and connections");
    }

    /** By which one reaches the other. */
    public InetSocketAddress address(int from, int to) {
        return ways.get(from).get(to).datagrams().address();
    }

    /** This door listens there now. */
    public void point(int door, InetSocketAddress to) {
        for (int from = 0; from < ways.size(); from++) {
            if (from != door) {
                ways.get(from).get(door).datagrams().point(to);
                ways.get(from).get(door).connections().point(to);
            }
        }
    }

    /** Only these directions work from now on; the others are cut, silently. */
    public void works(BiPredicate<Integer, Integer> which) {
        each((from, to) -> set(from, to, which.test(from, to) ? Weather.FAIR : Weather.CUT));
    }

    /** All work. */
    public void heal() {
        works((from, to) -> true);
    }

    /** All directions have this weather. */
    public void weather(Weather all) {
        each((from, to) -> set(from, to, all));
    }

    /** One direction has it. What connections feel of it: a cut, or the delay. */
    public void set(int from, int to, Weather now) {
        if (weather[from][to].equals(now)) {
            return;
        }
        weather[from][to] = now;
        ways.get(from).get(to).datagrams().weather(now);
        toxics(ways.get(from).get(to).connections(), Toxic.Stream.UPSTREAM, now);
        toxics(ways.get(to).get(from).connections(), Toxic.Stream.DOWNSTREAM, now);
    }

    private static void toxics(FaultRelay relay, Toxic.Stream stream, Weather now) {
        String cut = "cut-" + stream.name().toLowerCase(java.util.Locale.ROOT);
        String late = "late-" + stream.name().toLowerCase(java.util.Locale.ROOT);
        if (now.loss() >= 1) {
            relay.add(Toxic.of(cut, Toxic.Kind.STALL, stream, "bytes", 0));
        } else {
            relay.remove(cut);
        }
        if (now.delayMs() + now.jitterMs() > 0) {
            relay.add(Toxic.of(late, Toxic.Kind.LATENCY, stream, "latency", now.delayMs(), "jitter", now.jitterMs()));
        } else {
            relay.remove(late);
        }
    }

    private interface Pair {
        void on(int from, int to);
    }

    private void each(Pair what) {
        for (int from = 0; from < ways.size(); from++) {
            for (int to = 0; to < ways.size(); to++) {
                if (from != to) {
                    what.on(from, to);
                }
            }
        }
    }

    @Override
    public void close() {
        each((from, to) -> {
            ways.get(from).get(to).datagrams().close();
            ways.get(from).get(to).connections().close();
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
