package nettletrail.app.processes;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import nettletrail.core.Endpoint;
import nettletrail.faults.FaultLog;
import nettletrail.faults.FaultRelay;
import nettletrail.site.Site;

/**
 * Front doors as processes of their own that know each other, started side by side, with a mesh of links between them and a
 * link from clients to each. Whatever is done to them is noted in one log with what they say. All end with this, also when
 * this process is killed. One thread.
 */
public final class Fleet implements AutoCloseable {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** One door, over all its starts. */
    private static final class Door {
        private ChildJvm process;
        private int starts;
        private FaultRelay clients;
        private String control = "";
    }

    private final Site site;
    private final Path folder;
    private final EventLog log = new EventLog();
    private final Mesh mesh;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<Door> doors = new ArrayList<>();
    private final String operator;
    private final Path keys;

    /**
     * Links and files; no process is started yet.
     *
     * @param name of their folder, for whoever looks for it
     * @param operator what the operator file says beside the members' sections
     */
    public Fleet(String name, Site site, int count, long seed, String operator) throws IOException {
        this.site = site;
        this.operator = operator;
        folder = Files.createTempDirectory("nettletrail-" + name);
        keys = folder.resolve("members.keys");
        writeKeys(newKey());
        mesh = new Mesh(count, seed);
        for (int i = 0; i < count; i++) {
            Door door = new Door();
            door.clients = FaultRelay.start("clients-n" + i, group, ANY, ANY, seed + i, new FaultLog());
            doors.add(door);
        }
    }

    /** A key that no one had before. */
    public static String newKey() {
        byte[] key = new byte[32];
        new SecureRandom().nextBytes(key);
        return Base64.getEncoder().encodeToString(key);
    }

    /** The key file that all share holds these from now on. */
    public void writeKeys(String... lines) throws IOException {
        writeKeys(keys, lines);
    }

    private static void writeKeys(Path file, String... lines) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        Files.deleteIfExists(fresh);
        Files.createFile(fresh, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(fresh, String.join("\n", lines) + "\n");
        Files.move(fresh, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** A key file of this door's own, from its next start on. */
    public void writeKeysOf(int door, String... lines) throws IOException {
        writeKeys(folder.resolve("n" + door + ".keys"), lines);
    }

    /** A file in their folder. */
    public Path file(String name) {
        return folder.resolve(name);
    }

    private String operatorOf(int door) throws IOException {
        String seeds = IntStream.range(0, doors.size()).filter(other -> other != door)
                .mapToObj(other -> "n" + other + "=" + text(mesh.address(door, other))).collect(Collectors.joining(","));
        Path own = folder.resolve("n" + door + ".keys");
        return "[members]\nenabled = true\nlisten = \"127.0.0.1:0\"\nseeds = \"" + seeds + "\"\ndoors = " + doors.size()
                + "\nkey_file = \"" + (Files.exists(own) ? own : keys) + "\"\nnew_key_after_s = 2\nold_key_s = 6\n"
                + "[control]\nlisten = \"127.0.0.1:0\"\n[events]\nfile = \"-\"\n" + operator;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    // ---- Processes -----------------------------------------------------------------------------------------

    /** Starts all, side by side; returns when all are ready. */
    public void startAll() throws IOException, InterruptedException {
        for (int i = 0; i < doors.size(); i++) {
            launch(i);
        }
        for (int i = 0; i < doors.size(); i++) {
            awaitReady(i);
        }
    }

    /** Starts one, again or for the first time, with nothing in memory; returns when it is ready. */
    public void start(int door) throws IOException, InterruptedException {
        launch(door);
        awaitReady(door);
    }

    /** The same without waiting. */
    public void launch(int number) throws IOException {
        Door door = doors.get(number);
        int start = door.starts++;
        String name = "n" + number;
        Path config = file(name + ".json");
        Files.writeString(config, site.config(name));
        Path file = file(name + ".toml");
        Files.writeString(file, operatorOf(number));
        did("start", number);
        door.process = new ChildJvm(Map.of("EDGE_NAME", name, "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                text(new InetSocketAddress(InetAddress.getLoopbackAddress(), site.agent().address().getPort())),
                "EDGE_CONFIG", config.toString()), line -> log.line(number, start, line), "tested-door", "--operator",
                file.toString());
    }

    /** Points the links there as soon as the process has told where it listens. */
    public void awaitReady(int number) throws IOException, InterruptedException {
        Door door = doors.get(number);
        EventLog.Event started = log.await(0, TimeUnit.SECONDS.toMillis(30), each -> each.process() == number
                && each.start() == door.starts - 1 && each.kind().equals("members.start"));
        if (started == null) {
            throw new IOException("door n" + number + " never told where it listens:\n" + log.text());
        }
        mesh.point(number, Endpoint.parseAddress(started.field("listen")));
        door.control = door.process.await("control listens on ");
        InetSocketAddress http = Endpoint.parseAddress("127.0.0.1:"
                + port(door.process.await("n" + number + " listens on ")));
        door.clients.point(http);
        DoorProcesses.awaitReady(http);
        did("ready", number);
    }

    private static String port(String address) {
        return address.substring(address.lastIndexOf(':') + 1);
    }

    private void did(String what, int door) {
        log.did(what, Map.of("door", "n" + door));
    }

    /** SIGKILL. */
    public void kill(int door) throws InterruptedException {
        did("kill", door);
        doors.get(door).process.kill();
    }

    /** SIGSTOP. */
    public void stop(int door) throws IOException, InterruptedException {
        did("stop", door);
        doors.get(door).process.signal("STOP");
    }

    /** SIGCONT. */
    public void go(int door) throws IOException, InterruptedException {
        did("go", door);
        doors.get(door).process.signal("CONT");
    }

    /** SIGTERM; returns when it has ended. */
    public int terminate(int door) throws InterruptedException {
        did("terminate", door);
        return doors.get(door).process.terminate();
    }

    /** Its event loop is held up by so much on each turn from now on; 0 for no longer. */
    public void late(int door, long ms) throws IOException {
        did("late", door);
        doors.get(door).process.tell("late " + ms);
    }

    public ChildJvm process(int door) {
        return doors.get(door).process;
    }

    /** Where it answers operators. */
    public String control(int door) {
        return doors.get(door).control;
    }

    // ---- Around them ---------------------------------------------------------------------------------------

    public int size() {
        return doors.size();
    }

    /** Where clients reach them, the same over all their starts. */
    public List<InetSocketAddress> addresses() {
        return doors.stream().map(each -> each.clients.address()).toList();
    }

    /** The link from clients to a door. */
    public FaultRelay clients(int door) {
        return doors.get(door).clients;
    }

    public Mesh mesh() {
        return mesh;
    }

    public EventLog log() {
        return log;
    }

    public Site site() {
        return site;
    }

    @Override
    public void close() throws IOException {
        doors.forEach(each -> {
            if (each.process != null) {
                each.process.close();
            }
            each.clients.close();
        });
        mesh.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(each -> {
                try {
                    Files.deleteIfExists(each);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }
}
