package nettletrail.app.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import nettletrail.site.StandInDiscovery;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Five hollow front doors before forty hollow backends, with two stand-ins of discovery on sockets. */
class HollowFleetTest {
    private static final int DOORS = 5;
    private static final int BACKENDS = 40;
    private static final FleetPlan PLAN = new FleetPlan(DOORS, BACKENDS, 3, 4_000);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<StandInDiscovery> machines = List.of(new StandInDiscovery(group.next(), PLAN.entries()),
            new StandInDiscovery(group.next(), PLAN.entries()));
    private HollowDoors doors;

    @BeforeEach
    void begin(@TempDir Path folder) throws Exception {
        for (int zone = 0; zone < FleetPlan.ZONES; zone++) {
            Files.writeString(folder.resolve("zone" + zone + ".json"), PLAN.config(zone, 1_024, Mechanism.OFF));
        }
        doors = new HollowDoors(PLAN, 0, 1_024, HollowDoorsProcess.readers(folder),
                machines.stream().map(StandInDiscovery::address).toList(), Mechanism.OFF);
    }

    @AfterEach
    void end() {
        doors.close();
        machines.forEach(StandInDiscovery::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static void await(String what, BooleanSupplier so) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!so.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(5);
        }
    }

    private void awaitTold(long index) throws InterruptedException {
        await("version " + index + " at all doors: " + doors.told(index), () -> !doors.told(index).contains(0L));
    }

    private void change(String status, String selector) {
        machines.forEach(machine -> machine.change(PLAN.select(selector).stream().map(each -> PLAN.entry(each, status, 0))
                .toList()));
    }

    private List<Long> stat(String key) {
        return ((List<?>) doors.stats().get(key)).stream().map(each -> ((Number) each).longValue()).toList();
    }

    private long sum(String key) {
        return stat(key).stream().mapToLong(each -> each).sum();
    }

    @Test
    void aChangeReachesAllDoorsAndTheBytesAreThoseOfTheWire() throws Exception {
        doors.start(DOORS, 0);
        awaitTold(1);
        long ordered = System.nanoTime();
        change("DRAINING", "one:7");
        awaitTold(2);
        assertTrue(doors.told(2).stream().allMatch(each -> each > ordered), "told before it was ordered");
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L), doors.told(3));
        await("each watches again", () -> machines.stream().mapToLong(each -> each.counts().watches()).sum() == DOORS);
        long in = machines.stream().mapToLong(each -> each.counts().bytesOut()).sum();
        long out = machines.stream().mapToLong(each -> each.counts().bytesIn()).sum();
        assertEquals(in, sum("bytes_in"));
        assertEquals(out, sum("bytes_out"));
        assertEquals(DOORS, machines.stream().mapToLong(each -> each.counts().wholeLists()).sum());
        assertEquals(List.of(2L, 2L, 2L, 2L, 2L), stat("answers"));
        assertTrue(stat("control_ns").stream().allMatch(each -> each > 0));
    }

    @Test
    void drivenDoorsServeAndSendToNobodyWhoIsGone() throws Exception {
        doors.start(DOORS, 2);
        awaitTold(1);
        await("both serve", () -> stat("served").get(0) >= 20 && stat("served").get(1) >= 20);
        assertEquals(List.of(1L, 1L, 0L, 0L, 0L), stat("driven"));
        assertEquals(0, stat("arrived").get(2));
        change("DELETED", "zone:1");
        awaitTold(2);
        int[] before = doors.sends();
        long served = sum("served");
        await("they go on", () -> sum("served") >= served + 40);
        int[] after = doors.sends();
        List<Integer> sent = new ArrayList<>();
        PLAN.select("zone:1").forEach(each -> sent.add(after[each] - before[each]));
        assertEquals(0, sent.stream().mapToInt(each -> each).sum(), () -> "sent to a zone that is gone: " + sent);
        assertTrue(Arrays.stream(after).sum() > Arrays.stream(before).sum());
        assertTrue(sum("module_request_ns") > 0);
        assertTrue(sum("attempts") >= sum("connects"));
    }

    @Test
    void oneThatBeginsAnewAsksForAllOfItAndTheOldOneCallsNoMore() throws Exception {
        doors.start(DOORS, 1);
        awaitTold(1);
        change("DRAINING", "rack:0/0");
        awaitTold(2);
        long ordered = System.nanoTime();
        doors.restart(3);
        await("anew", () -> doors.told(1).get(3) > ordered);
        assertEquals(List.of(1L, 1L, 1L, 2L, 1L), stat("discovery_connects"));
        assertEquals(DOORS + 1, machines.stream().mapToLong(each -> each.counts().wholeLists()).sum());
        await("one watch each", () -> machines.stream().mapToLong(each -> each.counts().watches()).sum() == DOORS);
    }

    @Test
    void whatChangesWhileDiscoveryIsDownIsToldAfterwards() throws Exception {
        doors.start(DOORS, 0);
        awaitTold(1);
        machines.forEach(each -> each.down(true));
        change("DRAINING", "one:0");
        await("the change is made", () -> machines.stream().allMatch(each -> each.counts().index() == 2));
        assertEquals(List.of(0L, 0L, 0L, 0L, 0L), doors.told(2));
        machines.forEach(each -> each.down(false));
        awaitTold(2);
    }

    @Test
    void refusedConnectionsSendRequestsElsewhere() throws Exception {
        doors.down("zone:0", true);
        doors.start(DOORS, 1);
        awaitTold(1);
        await("served", () -> stat("served").get(0) >= 60);
        int[] sends = doors.sends();
        assertTrue(PLAN.select("zone:0").stream().anyMatch(each -> sends[each] > 0), "never tried");
        assertEquals(0, stat("failed").get(0));
    }
}
