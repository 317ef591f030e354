package nettletrail.app.processes;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import nettletrail.site.Site;

/** A site's front doors as processes of their own, with their files in a folder that goes with them. */
public final class DoorProcesses implements AutoCloseable {
    private final Path folder;
    private final List<ChildJvm> doors = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /** @param name of the folder, for whoever looks for it */
    public DoorProcesses(String name) throws IOException {
        folder = Files.createTempDirectory("nettletrail-" + name);
    }

    /** A file in their folder; it is deleted when they are closed. */
    public Path file(String name) {
        return folder.resolve(name);
    }

    /**
     * Starts as many as the site's settings tell, and returns when all of them are ready.
     *
     * @param more of each one's command line
     */
    public List<InetSocketAddress> start(Site site, String... more) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("serve"));
        command.addAll(List.of(more));
        int count = site.settings().doors();
        for (int i = 0; i < count; i++) {
            Path config = file("n" + i + ".json");
            Files.writeString(config, site.config("n" + i));
            doors.add(new ChildJvm(Map.of("EDGE_NAME", "n" + i, "EDGE_LISTEN", "127.0.0.1:0", "EDGE_DISCOVERY",
                    "127.0.0.1:" + site.agent().address().getPort(), "EDGE_CONFIG", config.toString()),
                    command.toArray(String[]::new)));
        }
        for (int i = 0; i < count; i++) {
            String at = doors.get(i).await("n" + i + " listens on ");
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(at.substring(at.lastIndexOf(':') + 1))));
            awaitReady(addresses.get(i));
        }
        return List.copyOf(addresses);
    }

    /** In the doors' order. */
    public List<ChildJvm> processes() {
        return List.copyOf(doors);
    }

    /**
     * Returns when the front door says that it is ready; it listens before, and its dry run is over by then.
     *
     * @throws IOException if it doesn't within 15 s and the time that its answers take
     */
    public static void awaitReady(InetSocketAddress door) throws IOException, InterruptedException {
        for (int i = 0; i < 300; i++) {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + door.getPort() + "/-/ready")
                    .toURL().openConnection();
            if (call.getResponseCode() == 200) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("the front door on port " + door.getPort() + " never became ready");
    }

    @Override
    public void close() throws IOException {
        doors.forEach(ChildJvm::close);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.deleteIfExists(each);
            }
        }
        Files.deleteIfExists(folder);
    }
}
