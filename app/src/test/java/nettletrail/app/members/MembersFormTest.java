package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Membership;
import nettletrail.core.SettingsSection;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.members.Change;
import nettletrail.members.Dropped;
import nettletrail.members.MembersServer;
import nettletrail.members.MembersSettings;
import nettletrail.members.Statement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/** What members log as events and tell on their page, and the keys of the section. */
@Timeout(60)
class MembersFormTest {
    private static final byte[] KEY = new byte[32];

    @TempDir
    private Path folder;
    private final List<String> lines = new ArrayList<>();
    private final Map<String, String> events = new TreeMap<>();

    /** Compares with the approved text; what was found is left in the build's folder. */
    private void verify(String name) throws Exception {
        String found = String.join("\n", lines) + "\n";
        Files.createDirectories(Path.of("target", "outer-forms"));
        Files.writeString(Path.of("target", "outer-forms", name), found);
        Path approved = Path.of("src", "test", "resources", "outer-forms", name);
        assertEquals(Files.exists(approved) ? Files.readString(approved) : "", found, name);
    }

    private final class Keys extends AppenderBase<ILoggingEvent> {
        @Override
        protected void append(ILoggingEvent event) {
            synchronized (events) {
                events.put(event.getMessage(), String.join(" ", event.getKeyValuePairs().stream().map(each -> each.key
                        + (each.key.equals("why") ? "=" + each.value : "")).toList()));
            }
        }
    }

    private Membership start(NioEventLoopGroup group, String name, String... more) throws Exception {
        Path keys = Files.writeString(folder.resolve("keys"), Base64.getEncoder().encodeToString(KEY) + "\n");
        Files.setPosixFilePermissions(keys, PosixFilePermissions.fromString("rw-------"));
        Map<String, Object> given = new TreeMap<>(Map.of("listen", "127.0.0.1:0", "key_file", keys.toString(),
                "doors", 2L, "period_ms", 100L, "ack_ms", 50L));
        for (int i = 0; i < more.length; i += 2) {
            given.put(more[i], more[i + 1]);
        }
        GatewaySettingsReader reader = new GatewaySettingsReader("Balancers=2");
        SettingsSection.Values values = MembersSettings.section().read(given, fault -> lines.add("" + fault));
        return MembersServer.maker(MembersSettings.of(values)).create(name, group.next(), reader, reader.settings(1));
    }

    private static Map<?, ?> status(Membership of) throws Exception {
        CompletableFuture<Object> told = new CompletableFuture<>();
        of.status(told::complete);
        return (Map<?, ?>) told.get(10, TimeUnit.SECONDS);
    }

    private void await(String event) throws InterruptedException {
        for (int i = 0; i < 400; i++) {
            synchronized (events) {
                if (events.containsKey(event)) {
                    lines.add(event + ": " + events.get(event));
                    return;
                }
            }
            Thread.sleep(50);
        }
        lines.add(event + " never came");
    }

    @Test
    void eventsAndPageHaveTheirKeys() throws Exception {
        Logger logger = (Logger) LoggerFactory.getLogger("nettletrail.events");
        Level before = logger.getLevel();
        Keys appender = new Keys();
        appender.start();
        logger.addAppender(appender);
        logger.setLevel(Level.INFO);
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            Membership one = start(group, "n0");
            String address = ((Map<?, ?>) ((List<?>) status(one).get("members")).get(0)).get("address").toString();
            Membership two = start(group, "n1", "seeds", "n0=" + address);
            await("members.start");
            await("members.joined");
            await("members.view");
            InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(address.substring(address.indexOf(':') + 1)));
            try (DatagramSocket socket = new DatagramSocket()) {
                socket.send(new DatagramPacket(new byte[3], 3, to));
            }
            await("members.dropped");
            Map<?, ?> page = status(one);
            lines.add("page: " + String.join(" ", page.keySet().stream().map(String::valueOf).toList()));
            Map<?, ?> member = (Map<?, ?>) ((List<?>) page.get("members")).get(0);
            lines.add("member: " + new TreeSet<>(member.keySet()) + " " + member.get("state"));
            lines.add("dropped: " + page.get("dropped"));
            two.leave();
            await("members.left");
            two.close();
            one.close();
        } finally {
            logger.setLevel(before);
            logger.detachAppender(appender);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        lines.add("events by their kind: " + Arrays.toString(Change.Kind.values()));
        lines.add("states: " + Arrays.toString(Statement.State.values()));
        lines.add("dropped, why: " + Arrays.toString(Dropped.values()));
        verify("members-events.txt");
    }

    @Test
    void sectionHasItsKeys() throws Exception {
        SettingsSection section = MembersSettings.section();
        section.keys().forEach(each -> lines.add(section.name() + "." + each.name() + " = " + each.defaultValue() + ", kind "
                + each.kind().ordinal() + " from " + each.min() + " to " + each.max()));
        MembersSettings.of(section.read(Map.of(), fault -> lines.add("fault " + fault.key())));
        verify("members-settings.txt");
    }
}
