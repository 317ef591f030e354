package nettletrail.app.scale.roles;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.Endpoint;
import nettletrail.discovery.DiscoveryClient;
import nettletrail.door.FrontDoorConfig;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.emulator.capacity.Rounded;

/** A front door's configuration and discovery's list by their numbers of plans and backends, through the real readers. */
final class SettingsRole {
    /** Of an answer of discovery, at most: what {@code DiscoveryClient} takes. */
    static final int MOST_LIST_BYTES = 4 << 20;
    private static final int REPEATS = 7;

    private SettingsRole() { }

    /** A backend as discovery tells it; the names' form is assumed: service, zone and number. */
    static String endpoint(int i) {
        return "{\"name\":\"svc" + i / 21 + "-z" + i % 5 + "-" + i + "\",\"address\":\"10." + i / 60_000 % 250 + "." + i / 250 % 250
                + "." + (i % 250 + 1) + ":8080\",\"zone\":\"z" + i % 5 + "\",\"type\":\"m1\",\"group\":" + i / 21
                + ",\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":" + (1_796_137_313_000L + i) + "}";
    }

    private static String list(int backends) {
        StringBuilder text = new StringBuilder("{\"index\":1,\"snapshot\":true,\"endpoints\":[");
        for (int i = 0; i < backends; i++) {
            text.append(i == 0 ? "" : ",").append(endpoint(i));
        }
        return text.append("]}").toString();
    }

    private static String plan(int i) {
        return "{\"Name\":\"tenant-" + i + "\",\"PerSecond\":20.0,\"Burst\":40.0,\"MaxOut\":0,\"NeverOverRate\":40.0,"
                + "\"HardBurst\":80.0,\"HardSlack\":4.0,\"ExcessCost\":0.5,\"BeyondEarns\":0.2,\"Pays\":1.0}";
    }

    /** A route as a configuration would have to tell it; its form is assumed, since there is none. */
    static String route(int i) {
        return "{\"host\":\"api" + i % 350 + ".example.com\",\"path\":\"/v1/resource-" + i + "/\",\"methods\":[\"GET\",\"POST\"],"
                + "\"service\":\"svc" + i % 350 + "\",\"class\":\"order-submit\",\"timeout_ms\":3000}";
    }

    /** A tenant as a configuration would have to tell it, with a plan's name in place of a plan's values; assumed. */
    static String tenant(int i) {
        return "{\"id\":\"" + Long.toHexString(i * 0x9e3779b97f4a7c15L) + "\",\"plan\":\"business\",\"region\":\"r" + i % 2
                + "\",\"per_s\":20.0,\"burst\":40.0}";
    }

    /** A whole list: its bytes, and what it costs to take in. */
    static Map<String, Object> listed(int backends) throws IOException {
        Map<String, Object> told = new LinkedHashMap<>();
        byte[] text = list(backends).getBytes(StandardCharsets.UTF_8);
        told.put("backends", backends);
        told.put("bytes", text.length);
        double best = Double.POSITIVE_INFINITY;
        long allocated = 0;
        for (int i = 0; i < REPEATS; i++) {
            long cpu = Gauge.cpuNs();
            long before = Gauge.allocated();
            List<Endpoint> entries = DiscoveryClient.parseEndpoints(JSON.std.mapFrom(text));
            allocated = Gauge.allocated() - before;
            best = Math.min(best, (Gauge.cpuNs() - cpu) / 1e6);
            if (entries.size() != backends) {
                throw new IOException("of " + backends + " entries " + entries.size() + " were read");
            }
        }
        told.put("parse_cpu_ms", Rounded.of(best));
        told.put("parse_allocated_bytes", allocated);
        told.put("kept_bytes", Gauge.keptBytes(() -> {
            try {
                return DiscoveryClient.parseEndpoints(JSON.std.mapFrom(text));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }));
        return told;
    }

    /** Backends from which on a whole list is more than is taken of an answer, by building lists. */
    static int mostBackends() {
        int low = 1;
        int high = 1 << 17;
        while (low + 1 < high) {
            int middle = (low + high) / 2;
            if (list(middle).length() <= MOST_LIST_BYTES) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    /** A whole configuration, each tenant a plan of its own: there is no other way to tell of one. */
    static Map<String, Object> configured(int plans, int backends) throws IOException,
            FrontDoorConfig.InvalidConfigException {
        StringBuilder text = new StringBuilder("{\"seed\":\"1f\",\"limits\":{\"sockets\":4096},\"settings\":{\"Balancers\":480,"
                + "\"Services\":[{\"Name\":\"order-submit\",\"Deadline\":3e9,\"Aim\":7.5e8}],\"TiersOfService\":[");
        for (int i = 0; i < plans; i++) {
            text.append(i == 0 ? "" : ",").append(plan(i));
        }
        text.append("]},\"known\":").append(list(backends)).append('}');
        Path file = Files.createTempFile("roles", ".json");
        try {
            Files.writeString(file, text);
            Map<String, String> env = Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:1", "EDGE_DISCOVERY", "127.0.0.1:2",
                    "EDGE_CONFIG", file.toString());
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("plans", plans);
            told.put("known", backends);
            told.put("bytes", text.length());
            double best = Double.POSITIVE_INFINITY;
            long allocated = 0;
            for (int i = 0; i < REPEATS; i++) {
                long cpu = Gauge.cpuNs();
                long before = Gauge.allocated();
                FrontDoorConfig config = FrontDoorConfig.read(env);
                int read = config.settings().settings(1).plans().size();
                int known = DiscoveryClient.parseEndpoints(config.knownEndpoints()).size();
                allocated = Gauge.allocated() - before;
                best = Math.min(best, (Gauge.cpuNs() - cpu) / 1e6);
                if (read != plans || known != backends) {
                    throw new IOException("of " + plans + " plans " + read + " were read, of " + backends + " backends " + known);
                }
            }
            told.put("read_cpu_ms", Rounded.of(best));
            told.put("read_allocated_bytes", allocated);
            told.put("file_map_kept_bytes", Gauge.keptBytes(() -> {
                try {
                    return JSON.std.mapFrom(Files.readAllBytes(file));
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            }));
            told.put("kept_bytes", Gauge.keptBytes(() -> {
                try {
                    return FrontDoorConfig.read(env);
                } catch (FrontDoorConfig.InvalidConfigException e) {
                    throw new IllegalStateException(e);
                }
            }));
            return told;
        } finally {
            Files.deleteIfExists(file);
        }
    }
}
