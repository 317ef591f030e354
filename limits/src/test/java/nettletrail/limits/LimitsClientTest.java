package nettletrail.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import nettletrail.core.SecretFile;
import nettletrail.core.SettingsSection;
import nettletrail.counter.StandInCounter;
import nettletrail.faults.FaultRelay;
import nettletrail.faults.Toxic;
import nettletrail.limits.LimitsDecider.Ceiling;
import nettletrail.limits.LimitsDecider.State;
import nettletrail.limits.LimitsDecider.Status;
import nettletrail.limits.LimitsDecider.Terms;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Decider, client library and script over sockets, against the stand-in counter. */
class LimitsClientTest {
    private static final long MS = 1_000_000L;
    private static final Ceiling CEILING = new Ceiling(1_000, 1_000);
    private static final String PASSWORD = "s3cret-never-shown";

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final EventLoop loop = group.next();
    private final List<LimitsClient> clients = new ArrayList<>();
    private final BlockingQueue<String> said = new LinkedBlockingQueue<>();
    private StandInCounter counter;
    private LimitsDecider decider;
    @TempDir
    private Path folder;

    @BeforeEach
    void make() throws InterruptedException {
        counter = new StandInCounter(group.next(), PASSWORD);
    }

    @AfterEach
    void end() {
        clients.forEach(LimitsClient::close);
        counter.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(Supplier<char[]> password) {
        start(password, counter.address());
    }

    private void start(Supplier<char[]> password, InetSocketAddress address) {
        Terms terms = new Terms("n0/1", 2_000 * MS, 60_000 * MS, 30_000 * MS, 400 * MS, 0.25, 1, 32, 2_000, 1_000);
        LimitsClient client = new LimitsClient(loop, address, "t", terms, 200, password);
        decider = new LimitsDecider(terms, System.nanoTime(), client);
        client.tells(decider);
        clients.add(client);
        loop.scheduleWithFixedDelay(() -> decider.tick(System.nanoTime()), 0, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get();
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void await(Condition condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < until, "never came true");
            Thread.sleep(5);
        }
    }

    private boolean take() throws Exception {
        return onLoop(() -> decider.take(System.nanoTime(), 7, CEILING, 1, 1));
    }

    private State state() throws Exception {
        return onLoop(() -> decider.state(System.nanoTime(), 7));
    }

    private Status status() throws Exception {
        return onLoop(decider::status);
    }

    private void awaitLeased() throws Exception {
        await(() -> {
            take();
            return state() == State.LEASED && take();
        });
    }

    @Test
    void unitsAreLeasedOverTheProtocol() throws Exception {
        start(PASSWORD::toCharArray);
        awaitLeased();
        Status status = status();
        assertFalse(status.away());
        assertTrue(counter.bytes() > 0);
    }

    @Test
    void aCounterThatIsGoneIsGoneByAndComesBack() throws Exception {
        start(PASSWORD::toCharArray);
        awaitLeased();
        counter.gone();
        await(() -> {
            take();
            return status().away() && state() == State.SHARE && take();
        });
        counter.again();
        awaitLeased();
        assertFalse(status().away());
        assertEquals(0, status().epochs());
    }

    @Test
    void aCounterThatReadsAndNeverAnswersIsGoneByInBoundedTime() throws Exception {
        start(PASSWORD::toCharArray);
        awaitLeased();
        counter.stopped(true);
        await(() -> {
            take();
            return status().away();
        });
        await(() -> status().out() == 0);
        counter.stopped(false);
        awaitLeased();
    }

    /** The way itself is at fault: slow beyond the time-out, cut inside an answer, bytes that are no answer. */
    @Test
    void faultsOnTheWayCountAsLossesAndEnd() throws Exception {
        try (FaultRelay relay = FaultRelay.start(group, counter.address(), 1)) {
            start(PASSWORD::toCharArray, relay.address());
            awaitLeased();
            List<Toxic> faults = List.of(
                    Toxic.of("slow", Toxic.Kind.LATENCY, Toxic.Stream.DOWNSTREAM, "latency", 600),
                    Toxic.of("cut", Toxic.Kind.CUT, Toxic.Stream.DOWNSTREAM, "at", 40, "how", "rst"),
                    Toxic.of("noise", Toxic.Kind.GARBLE, Toxic.Stream.DOWNSTREAM, "mode", "random", "bytes", 64, "from", 0));
            for (Toxic fault : faults) {
                relay.add(fault);
                await(() -> {
                    take();
                    return status().away();
                });
                relay.remove(fault.name());
                awaitLeased();
            }
            assertEquals(0, status().epochs(), "and the counter forgot nothing");
        }
    }

    @Test
    void aFreshCounterIsFoundOut() throws Exception {
        start(PASSWORD::toCharArray);
        awaitLeased();
        counter.replace();
        await(() -> {
            take();
            return status().epochs() == 1;
        });
        awaitLeased();
    }

    @Test
    void anAnswerThatIsLostAfterTheScriptRanIsNoSecondGrant() throws Exception {
        start(PASSWORD::toCharArray);
        awaitLeased();
        counter.dropAnswers(2);
        await(() -> {
            take();
            return status().failures() > 0;
        });
        awaitLeased();
        assertEquals(0, status().epochs(), "and no sign of a counter that forgot");
    }

    @Test
    void aCounterThatIsFullCountsAsGone() throws Exception {
        start(PASSWORD::toCharArray);
        awaitLeased();
        counter.full(true);
        await(() -> {
            take();
            return status().away();
        });
        counter.full(false);
        awaitLeased();
    }

    @Test
    void aWrongPasswordIsNoCounterAndARightOneInTheFileLaterIs() throws Exception {
        Path file = folder.resolve("password");
        Files.writeString(file, "wrong\n", java.nio.charset.StandardCharsets.UTF_8);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        start(() -> {
            try {
                return SecretFile.read(file.toString());
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        await(() -> status().away());
        Files.writeString(file, PASSWORD + "\n");
        awaitLeased();
    }

    @Test
    void badSettingsAreToldByKeyRuleAndRemedyWithoutTheSecret() throws Exception {
        Path file = folder.resolve("open");
        Files.writeString(file, PASSWORD);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-r--r--"));
        SettingsSection.Values values = LimitsSettings.section().read(java.util.Map.of("enabled", true, "counter", "",
                "timeout_ms", 1_000L, "lease_ms", 2_000L, "idle_s", 1L, "ceilings", "business=20", "password_file",
                file.toString()), fault -> said.add(fault.key()));
        List<SettingsSection.Fault> faults = new ArrayList<>();
        LimitsSettings.check(values, faults::add);
        assertEquals(List.of("counter", "timeout_ms", "idle_s", "ceilings", "password_file"),
                faults.stream().map(SettingsSection.Fault::key).toList());
        assertTrue(said.isEmpty());
        assertFalse(faults.toString().contains(PASSWORD));
        assertTrue(faults.toString().contains("chmod 600"));
    }
}
