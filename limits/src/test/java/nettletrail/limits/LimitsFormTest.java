package nettletrail.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettletrail.core.SettingsSection;
import nettletrail.counter.StandInCounter;
import nettletrail.limits.LimitsDecider.Call;
import nettletrail.limits.LimitsDecider.Row;
import nettletrail.limits.LimitsDecider.Terms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the counter reads of a front door, and the keys of the section. */
@Timeout(60)
class LimitsFormTest {
    private static final long MS = 1_000_000L;
    private final List<String> lines = new ArrayList<>();
    private final BlockingQueue<List<String>> commands = new LinkedBlockingQueue<>();

    /** Compares with the approved text; what was found is left in the build's folder. */
    private void verify(String name) throws Exception {
        String found = String.join("\n", lines) + "\n";
        Files.createDirectories(Path.of("target", "outer-forms"));
        Files.writeString(Path.of("target", "outer-forms", name), found);
        Path approved = Path.of("src", "test", "resources", "outer-forms", name);
        assertEquals(Files.exists(approved) ? Files.readString(approved) : "", found, name);
    }

    private static void start(Callable what) {
        Thread thread = new Thread(() -> {
            try {
                what.call();
            } catch (IOException e) {
                return; // the connection's end
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private interface Callable {
        void call() throws IOException;
    }

    /** Passes on what comes, and notes the commands. */
    private void record(ServerSocket listening, InetSocketAddress counter) throws IOException {
        Socket client = listening.accept();
        Socket server = new Socket(counter.getAddress(), counter.getPort());
        start(() -> server.getInputStream().transferTo(client.getOutputStream()));
        InputStream in = new BufferedInputStream(client.getInputStream());
        while (true) {
            commands.add(command(in, server.getOutputStream()));
        }
    }

    private static List<String> command(InputStream in, OutputStream to) throws IOException {
        List<String> parts = new ArrayList<>();
        int count = Integer.parseInt(line(in, to).substring(1));
        for (int i = 0; i < count; i++) {
            byte[] part = in.readNBytes(Integer.parseInt(line(in, to).substring(1)));
            to.write(part);
            parts.add(new String(part, StandardCharsets.UTF_8));
            line(in, to);
        }
        return parts;
    }

    private static String line(InputStream in, OutputStream to) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("ended");
            }
            line.append((char) next);
        }
        to.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        return line.toString().strip();
    }

    /** Up to this kind of call; the script, its digest and the random name of an epoch are left out. */
    private void note(String what, String command, String keys) throws InterruptedException {
        lines.add("== " + what);
        while (true) {
            List<String> next = commands.poll(10, TimeUnit.SECONDS);
            assertNotNull(next, "no " + command);
            List<String> told = new ArrayList<>(next);
            boolean call = told.get(0).startsWith("EVAL");
            if (call && !(told.get(0).equals(command) && told.get(2).equals(keys))) {
                continue; // a further beat
            }
            if (call) {
                told.set(1, told.get(1).equals(LeaseScript.TEXT) ? "SCRIPT"
                        : told.get(1).matches("\\w{40}") ? "DIGEST" : "?");
                int epoch = 3 + Integer.parseInt(keys) + 2;
                told.set(epoch, told.get(epoch).matches("[0-9a-f]{8,32}") ? "NEW-EPOCH" : "?");
            } else if (told.contains("lib-ver")) {
                told.set(told.indexOf("lib-ver") + 1, "VERSION");
            }
            lines.add(String.join(" ", told.stream().map(each -> each.isEmpty() ? "\"\"" : each).toList()));
            if (call) {
                return;
            }
        }
    }

    @Test
    void callsHaveTheirKeysAndArguments() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        EventLoop loop = group.next();
        Terms terms = new Terms("n0/1", 2_000 * MS, 60_000 * MS, 30_000 * MS, 400 * MS, 0.25, 5, 32, 2_000, 1_000);
        try (StandInCounter counter = new StandInCounter(group.next(), "s3cret");
                ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                LimitsClient client = new LimitsClient(loop, (InetSocketAddress) listening.getLocalSocketAddress(), "t",
                        terms, 5_000, "s3cret"::toCharArray)) {
            start(() -> record(listening, counter.address()));
            client.tells(new LimitsDecider(terms, System.nanoTime(), client));
            Call beat = new Call("", 0, List.of());
            for (int i = 0; i < 200 && commands.stream().noneMatch(each -> each.get(0).equals("EVALSHA")); i++) {
                loop.submit(() -> client.beat(beat)).sync(); // the first of them connects
                Thread.sleep(50);
            }
            note("up to the first call of a beat", "EVALSHA", "1");
            note("its script is not known there", "EVAL", "1");
            loop.submit(() -> client.call(new Call("e1", 21, List.of(new Row(0xab, 1, 2, 3, 4, 5, 6, 7, 8, 9, false),
                    new Row(0xcd, 11, 12, 13, 14, 15, 16, 17, 18, 19, true))))).sync();
            note("a lease call for two customers", "EVALSHA", "3");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        verify("limits-calls.txt");
    }

    /** The names that the script keeps at the counter, and the commands that it calls there. */
    @Test
    void scriptHasItsNames() throws Exception {
        Matcher name = Pattern.compile("'[^']*'").matcher(LeaseScript.TEXT.replaceAll("(?m)--.*$", ""));
        TreeSet<String> names = new TreeSet<>();
        while (name.find()) {
            names.add(name.group());
        }
        lines.addAll(names);
        verify("limits-script.txt");
    }

    @Test
    void sectionHasItsKeys() throws Exception {
        SettingsSection section = LimitsSettings.section();
        section.keys().forEach(each -> lines.add(section.name() + "." + each.name() + " = " + each.defaultValue() + ", kind "
                + each.kind().ordinal() + " from " + each.min() + " to " + each.max()));
        LimitsSettings.of(section.read(Map.of(), fault -> lines.add("fault " + fault.key())));
        verify("limits-settings.txt");
    }
}
