package nettletrail.app.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A measure that is killed leaves nothing behind: neither what follows its orders nor what the platform runs. */
class ChildrenEndTest {
    private static final String UP = "up ";

    /** Stands for the measure: starts one of each kind and waits to be killed. */
    static final class Parent {
        private Parent() { }

        public static void main(String[] args) throws Exception {
            FleetPlan plan = new FleetPlan(3, 10, 1, 0);
            Path folder = Path.of(args[0]);
            Child discovery = new Child("discovery", 64, List.of("scale-discovery", "--plan", HollowDoorsProcess.text(plan)));
            int port = ScaleFleet.number(discovery.reply()).intValue();
            Files.writeString(folder.resolve("zone0.json"), plan.config(0, 1_024, Mechanism.OFF));
            RealDoor door = new RealDoor("real-0", new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    folder.resolve("zone0.json"), List.of(java(), "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                    "nettletrail.door.Main", "serve"));
            door.launch();
            door.awaitReady();
            System.out.println(UP + discovery.pid() + " " + door.pid());
            Thread.currentThread().join();
        }
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    @Test
    void allEndWhenTheParentIsKilled(@TempDir Path folder) throws Exception {
        List<ProcessHandle> children = new ArrayList<>();
        Process parent = new ProcessBuilder(java(), "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                Parent.class.getName(), folder.toString()).redirectErrorStream(true).start();
        try (BufferedReader from = new BufferedReader(new InputStreamReader(parent.getInputStream(), StandardCharsets.UTF_8))) {
            StringBuilder said = new StringBuilder();
            String line = from.readLine();
            for (; line != null && !line.startsWith(UP); line = from.readLine()) {
                said.append(line).append('\n');
            }
            assertTrue(line != null, () -> "it ended: " + said);
            children.addAll(parent.descendants().toList());
            List<Long> pids = children.stream().map(ProcessHandle::pid).toList();
            List<Long> told = Stream.of(line.substring(UP.length()).split(" ")).map(Long::valueOf).toList();
            assertEquals(2, told.size());
            assertTrue(pids.containsAll(told), () -> told + " are not all of " + pids);
            parent.destroyForcibly().waitFor();
            for (ProcessHandle each : children) {
                each.onExit().get(20, TimeUnit.SECONDS);
            }
            assertEquals("", children.stream().filter(ProcessHandle::isAlive).map(ProcessHandle::toString)
                    .collect(Collectors.joining()));
        } finally {
            children.forEach(ProcessHandle::destroyForcibly);
            parent.destroyForcibly();
        }
    }
}
