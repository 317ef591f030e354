package nettletrail.app.scale;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import nettletrail.core.Endpoint;
import nettletrail.core.EventLoopClock;
import nettletrail.decision.GatewaySettingsReader;

/** Hollow front doors of one process, on one loop. Any thread but that loop. */
final class HollowDoors implements AutoCloseable {
    static final int TENTHS = 10;
    private static final double MB = 1 << 20;

    private final FleetPlan plan;
    private final int first;
    private final int sockets;
    private final List<InetSocketAddress> agents;
    private final EventLoopClock clock = new EventLoopClock();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(),
            () -> clock);
    private final EventLoop loop = group.next();
    private final HollowDoor.Host host;
    private final List<HollowDoor> doors = new ArrayList<>();
    private final Map<Long, Integer> numbers = new HashMap<>();
    private final BitSet down = new BitSet();
    private final int[] sends;
    /** Of doors that are gone: what they had counted goes on in their successors. */
    private final Map<Integer, long[]> before = new LinkedHashMap<>();
    private final double emptyMb;
    private int life;
    private long threadId;

    /**
     * @param first number of the first one here
     * @param readers the settings, by the front door's zone
     * @param agents discovery's; front doors are dealt over them in turn
     */
    HollowDoors(FleetPlan plan, int first, int sockets, List<GatewaySettingsReader> readers,
            List<InetSocketAddress> agents,
            Mechanism mechanism) {
        this.plan = plan;
        this.first = first;
        this.sockets = sockets;
        this.agents = List.copyOf(agents);
        sends = new int[plan.backends()];
        for (int i = 0; i < plan.backends(); i++) {
            numbers.put(Endpoint.idOf(plan.name(i)), i);
        }
        host = new HollowDoor.Host(plan, loop, clock, readers, mechanism, id -> {
            int number = numbers.get(id);
            sends[number]++;
            return !down.get(number);
        });
        on(() -> threadId = Thread.currentThread().getId());
        emptyMb = usedMb();
    }

    /** Starts them; the first so many are driven at their share of the traffic. */
    void start(int count, int driven) {
        on(() -> {
            for (int i = 0; i < count; i++) {
                doors.add(make(first + i, i < driven));
            }
            return null;
        });
    }

    private HollowDoor make(int number, boolean driven) {
        return new HollowDoor(host, number, life, driven, sockets, agents.get(number % agents.size()));
    }

    /** Of each ten front doors this one ends and begins anew, with nothing in memory. */
    void restart(int tenth) {
        on(() -> {
            life++;
            for (int i = 0; i < doors.size(); i++) {
                HollowDoor old = doors.get(i);
                if (old.number % TENTHS == tenth) {
                    long[] counts = counts(old);
                    old.end();
                    before.put(old.number, counts);
                    doors.set(i, make(old.number, old.driven));
                }
            }
            return null;
        });
    }

    /** These backends refuse connections from now on, or take them again. */
    void down(String selector, boolean now) {
        List<Integer> chosen = plan.select(selector);
        on(() -> {
            chosen.forEach(each -> down.set(each, now));
            return null;
        });
    }

    /** No requests from now on, or again. */
    void paused(boolean now) {
        on(() -> {
            doors.forEach(each -> each.paused = now);
            return null;
        });
    }

    /** By front door, when it had this version, ns; 0 where it has not. */
    List<Long> told(long index) {
        return on(() -> doors.stream().map(each -> each.toldAt(index)).toList());
    }

    /** Attempts so far, by backend. */
    int[] sends() {
        return on(sends::clone);
    }

    private static final List<ToLongFunction<HollowDoor>> COUNTED = List.of(each -> each.control.cpuNs,
            HollowDoor::moduleRequestNs, HollowDoor::moduleListNs, each -> each.control.bytesIn,
            each -> each.control.bytesOut, each -> each.control.connects, each -> each.arrived, each -> each.served,
            each -> each.refused, each -> each.failed, each -> each.attempts, HollowDoor::connects, HollowDoor::answers);
    /** Names of what {@link #counts} holds, in its order: sums over a front door's lives. */
    static final List<String> NAMES = List.of("control_ns", "module_request_ns", "module_list_ns", "bytes_in", "bytes_out",
            "discovery_connects", "arrived", "served", "refused", "failed", "attempts", "connects", "answers");

    private long[] counts(HollowDoor door) {
        long[] earlier = before.getOrDefault(door.number, new long[COUNTED.size()]);
        long[] counts = new long[COUNTED.size()];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = earlier[i] + COUNTED.get(i).applyAsLong(door);
        }
        return counts;
    }

    /** All that is counted, by front door, and of the process. */
    Map<String, Object> stats() {
        Map<String, Object> stats = on(() -> {
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("first", first);
            told.put("driven", doors.stream().map(each -> each.driven ? 1 : 0).toList());
            told.put("connections", doors.stream().map(HollowDoor::connections).toList());
            List<long[]> counts = doors.stream().map(this::counts).toList();
            for (int i = 0; i < NAMES.size(); i++) {
                int at = i;
                told.put(NAMES.get(i), counts.stream().map(each -> each[at]).toList());
            }
            return told;
        });
        stats.put("loop_ns", ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId));
        stats.put("process_ns", ProcessHandle.current().info().totalCpuDuration().map(each -> each.toNanos()).orElse(0L));
        stats.put("gc_ms", ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime).sum());
        stats.put("at_ns", System.nanoTime());
        return stats;
    }

    /** MB that a front door holds on the mean: heap after a collection and pooled buffers, less those of a process without any. */
    double doorMb() {
        return (usedMb() - emptyMb) / Math.max(1, doors.size());
    }

    private static double usedMb() {
        System.gc();
        return (ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                + PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory()) / MB;
    }

    private <T> T on(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        on(() -> {
            doors.forEach(HollowDoor::end);
            return null;
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
