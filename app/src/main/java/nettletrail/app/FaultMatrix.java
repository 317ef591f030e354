package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import nettletrail.door.FrontDoor;
import nettletrail.door.FrontDoorConfig;
import nettletrail.faults.FaultRelay;
import nettletrail.faults.Toxic;
import nettletrail.faults.Toxic.Kind;
import nettletrail.faults.Toxic.Stream;
import nettletrail.site.SiteSettings;
import nettletrail.site.StandInAgent;
import nettletrail.site.StandInBackend;

/**
 * A front door between relays on all three of its sides (client, backend, discovery), one request at a time through a
 * fault, and what must hold whatever the fault: one final answer, an order run once at most, nothing left over.
 */
final class FaultMatrix {
    /** Where the fault is. */
    enum Side { BACKEND, DISCOVERY, CLIENT }

    /** One request through a fault, or through several. */
    record Case(List<Toxic> toxics, boolean unsafe, boolean kept, Side side) {
        String name() {
            StringBuilder all = new StringBuilder();
            toxics.forEach(toxic -> all.append(toxic.kind().text()).append('/').append(toxic.stream().name().charAt(0))
                    .append(toxic.attributes()).append(' '));
            return all + (unsafe ? "order-submit " : "order-status ") + (kept ? "kept " : "new ") + side;
        }
    }

    /** What was seen; a text for each thing that must not be. */
    record Seen(Case of, int answers, int status, long runs, boolean answeredTwice, boolean ranTwice, List<String> wrong) {
        /** It ran twice since the relay repeated its bytes behind the front door, which wrote them once. */
        boolean repeatedByRelay() {
            return runs > 1 && !ranTwice;
        }
    }

    private static final int DEADLINE_MS = 700;
    /** A machine under load is late; a hang is far longer. */
    private static final int LATE_MS = 1_500;
    private static final String BODY = "{\"order\":1}";

    private FaultMatrix() { }

    /** Each kind, in the forms that differ for a front door. */
    static List<Toxic> faults() {
        List<Toxic> all = new ArrayList<>();
        for (Stream stream : Stream.values()) {
            all.add(Toxic.of("f", Kind.LATENCY, stream, "latency", 60, "jitter", 40));
            all.add(Toxic.of("f", Kind.BANDWIDTH, stream, "rate", 1));
            all.add(Toxic.of("f", Kind.SLOW_LORIS, stream, "every_ms", 100));
            all.add(Toxic.of("f", Kind.SLICER, stream, "average_size", 3, "size_variation", 2, "delay", 200));
            all.add(Toxic.of("f", Kind.STALL, stream, "bytes", 0));
            all.add(Toxic.of("f", Kind.STALL, stream, "bytes", 30));
            all.add(Toxic.of("f", Kind.TIMEOUT, stream, "timeout", 150));
            for (String how : List.of("fin", "rst")) {
                all.add(Toxic.of("f", Kind.CUT, stream, "at", 20, "how", how));
                all.add(Toxic.of("f", Kind.CUT, stream, "at", "before-head", "how", how));
                all.add(Toxic.of("f", Kind.CUT, stream, "at", "inside-head", "how", how));
                all.add(Toxic.of("f", Kind.CUT, stream, "at", stream == Stream.UPSTREAM ? "after-request"
                        : "inside-answer", "how", how));
            }
            all.add(Toxic.of("f", Kind.CUT, stream, "at", stream == Stream.UPSTREAM ? "after-request" : "after-answer",
                    "how", "rst"));
            all.add(Toxic.of("f", Kind.HALF_CLOSE, stream, "at", "inside-head"));
            all.add(Toxic.of("f", Kind.HALF_CLOSE, stream, "at", stream == Stream.UPSTREAM ? "after-request"
                    : "after-answer"));
            all.add(Toxic.of("f", Kind.GARBLE, stream, "mode", "random", "bytes", 12));
            all.add(Toxic.of("f", Kind.DUPLICATE, stream));
            all.add(Toxic.of("f", Kind.REORDER, stream));
        }
        all.add(Toxic.of("f", Kind.BLACK_HOLE, Stream.UPSTREAM));
        all.add(Toxic.of("f", Kind.REFUSE, Stream.UPSTREAM));
        all.add(Toxic.of("f", Kind.REFUSE, Stream.UPSTREAM).when(Toxic.When.connections(1, 1_000_000)));
        for (String mode : List.of("length", "body", "second-answer", "chunked")) {
            all.add(Toxic.of("f", Kind.GARBLE, Stream.DOWNSTREAM, "mode", mode));
        }
        all.add(Toxic.of("f", Kind.GARBLE, Stream.DOWNSTREAM, "mode", "length", "by", -1));
        for (int status : new int[] {404, 500, 503, 100, 204}) {
            all.add(Toxic.of("f", Kind.GARBLE, Stream.DOWNSTREAM, "mode", "status", "status", status));
        }
        return all;
    }

    /** Every kind, class, kind of connection and side. */
    static List<Case> all() {
        List<Case> cases = new ArrayList<>();
        for (Toxic toxic : faults()) {
            for (Side side : Side.values()) {
                for (boolean unsafe : new boolean[] {false, true}) {
                    for (boolean kept : new boolean[] {false, true}) {
                        cases.add(new Case(List.of(toxic), unsafe, kept, side));
                    }
                }
            }
        }
        return cases;
    }

    /** Two faults together, drawn from a seed. */
    static Case mixed(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Toxic> all = faults();
        Toxic first = all.get(random.nextInt(all.size()));
        Toxic second = all.get(random.nextInt(all.size()));
        Toxic other = new Toxic("g", second.kind(), second.stream(), second.toxicity(), second.when(),
                second.attributes());
        return new Case(List.of(first, other), random.nextBoolean(), random.nextBoolean(),
                Side.values()[random.nextInt(3)]);
    }

    /** All of them, so many at once; in their order. */
    static List<Seen> run(List<Case> cases, int atOnce) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(atOnce);
        Path folder = Files.createTempDirectory("nettletrail-faults");
        try {
            List<Future<Seen>> running = new ArrayList<>();
            for (int i = 0; i < cases.size(); i++) {
                Case each = cases.get(i);
                Path file = folder.resolve("config-" + i + ".json");
                long seed = i;
                running.add(threads.submit(() -> {
                    try {
                        return new One(each, file, seed).run();
                    } finally {
                        Files.deleteIfExists(file);
                    }
                }));
            }
            List<Seen> seen = new ArrayList<>();
            for (Future<Seen> each : running) {
                seen.add(each.get());
            }
            return seen;
        } finally {
            threads.shutdownNow();
            threads.awaitTermination(5, TimeUnit.SECONDS);
            Files.deleteIfExists(folder);
        }
    }

    /** One case, with parts of its own. */
    private static final class One {
        private final Case of;
        private final Path file;
        private final long seed;
        private final List<String> wrong = new ArrayList<>();
        private boolean answeredTwice;
        private boolean ranTwice;
        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final nettletrail.site.Ledger ledger = new nettletrail.site.Ledger();

        One(Case of, Path file, long seed) {
            this.of = of;
            this.file = file;
            this.seed = seed;
        }

        Seen run() throws Exception {
            List<FaultRelay> relays = new ArrayList<>();
            try (StandInAgent agent = new StandInAgent(group);
                    StandInBackend first = new StandInBackend("s-0", group, ledger, StandInBackend.Manner.good(1), seed);
                    StandInBackend second = new StandInBackend("s-1", group, ledger, StandInBackend.Manner.good(1),
                            seed)) {
                FaultRelay toFirst = FaultRelay.start(group, first.address(), seed);
                FaultRelay toSecond = FaultRelay.start(group, second.address(), seed + 1);
                FaultRelay toAgent = FaultRelay.start(group, agent.address(), seed + 2);
                relays.addAll(List.of(toFirst, toSecond, toAgent));
                agent.set("s-0", toFirst.address(), "SERVING", 0);
                agent.set("s-1", toSecond.address(), "SERVING", 0);
                if (!of.kept() && of.side() == Side.DISCOVERY) {
                    of.toxics().forEach(toAgent::add);
                }
                Files.writeString(file, "{\"name\":\"n0\",\"discovery\":\"\",\"seed\":\"" + Long.toHexString(seed)
                        + "\",\"limits\":{\"sockets\":1024},\"known\":" + agent.list(-1) + ",\"settings\":"
                        + SiteSettings.usual(1).json() + "}");
                FrontDoor door =
                        FrontDoor.start(FrontDoorConfig.read(Map.of("EDGE_NAME", "n0", "EDGE_LISTEN", "127.0.0.1:0",
                        "EDGE_DISCOVERY", "127.0.0.1:" + toAgent.address().getPort(), "EDGE_CONFIG", file.toString())),
                        FrontDoor.GATEWAY_FACTORY);
                try {
                    FaultRelay toDoor = FaultRelay.start(group, door.address(), seed + 3);
                    relays.add(toDoor);
                    return through(door, toDoor, switch (of.side()) {
                        case BACKEND -> List.of(toFirst, toSecond);
                        case DISCOVERY -> List.of(toAgent);
                        case CLIENT -> List.of(toDoor);
                    });
                } finally {
                    door.stop();
                }
            } finally {
                relays.forEach(FaultRelay::close);
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }

        private Seen through(FrontDoor door, FaultRelay toDoor, List<FaultRelay> faulty) throws Exception {
            InetSocketAddress address = of.side() == Side.CLIENT ? toDoor.address() : door.address();
            boolean refused = of.side() == Side.CLIENT && !of.kept();
            Socket kept = of.kept() ? new Socket(address.getAddress(), address.getPort()) : null;
            if (kept != null) {
                // One good request through everything: both connections are then kept ones.
                if (ask(kept, "00000000000000aa", false, true).status() != 200) {
                    wrong.add("the request before the fault was not served");
                }
                Thread.sleep(10); // the connection to the backend has rested
            }
            if (of.kept() || of.side() != Side.DISCOVERY) {
                faulty.forEach(relay -> of.toxics().forEach(relay::add));
            }
            Got got;
            try (Socket client = kept != null ? kept : new Socket()) {
                if (kept == null) {
                    client.connect(address, 1_000);
                }
                got = ask(client, "00000000000000bb", of.unsafe(), false);
            } catch (IOException e) {
                got = new Got(0, 0, 0, "no connection");
                if (!refused) {
                    wrong.add("no connection to the front door: " + e.getMessage());
                }
            }
            check(got);
            faulty.forEach(FaultRelay::reset);
            faulty.forEach(FaultRelay::cutAll);
            int held = -1;
            for (int i = 0; i < 300 && held != 0; i++) {
                held = door.activeRequestCount();
                Thread.sleep(10);
            }
            if (held != 0) {
                wrong.add(held + " requests still held by the front door");
            }
            // It goes on serving: what follows the fault is answered.
            try (Socket after = new Socket(door.address().getAddress(), door.address().getPort())) {
                if (ask(after, "00000000000000cc", false, true).answers() != 1) {
                    wrong.add("after the fault a request is not answered");
                }
            }
            return new Seen(of, got.answers(), got.status(), ledger.timesRun("00000000000000bb"), answeredTwice,
                    ranTwice, wrong);
        }

        private void check(Got got) {
            long runs = ledger.timesRun("00000000000000bb");
            // What the relay repeats behind the front door was written once by it; the note lists it as what it can't mend.
            boolean repeats = of.side() == Side.BACKEND && of.toxics().stream().anyMatch(toxic ->
                    toxic.kind() == Kind.DUPLICATE && toxic.stream() == Stream.UPSTREAM);
            ranTwice = of.unsafe() && runs > 1 && !repeats;
            if (ranTwice) {
                wrong.add("order-submit ran " + runs + " times");
            }
            // The same goes for answers that the relay repeats; a request that it repeats is a second one, of an id in use.
            boolean echoes = of.side() == Side.CLIENT && of.toxics().stream().anyMatch(toxic ->
                    toxic.kind() == Kind.DUPLICATE && toxic.stream() == Stream.DOWNSTREAM
                            || toxic.text("mode").equals("second-answer"));
            boolean asksTwice = of.side() == Side.CLIENT && of.toxics().stream().anyMatch(toxic ->
                    toxic.kind() == Kind.DUPLICATE && toxic.stream() == Stream.UPSTREAM);
            answeredTwice = !echoes && got.answers() > 1 && !(asksTwice && got.served() <= 1);
            if (answeredTwice) {
                wrong.add("answered " + got.answers() + " times");
            }
            // What a fault between client and front door keeps from the client, the front door can't mend.
            if (got.answers() == 0 && of.side() != Side.CLIENT) {
                wrong.add("not answered: " + got.why());
            }
            boolean refusal = got.status() == 429 || got.status() == 503;
            if (of.side() != Side.CLIENT && of.unsafe() && refusal && runs > 0) {
                wrong.add("refused with " + got.status() + ", and ran");
            }
            boolean tellable = of.side() == Side.DISCOVERY || of.side() == Side.BACKEND && of.toxics().stream().noneMatch(
                    toxic -> toxic.kind() == Kind.GARBLE || toxic.kind() == Kind.REORDER || toxic.kind() == Kind.DUPLICATE);
            if (tellable && got.status() == 200 && !got.why().equals("00000000000000bb")) {
                wrong.add("served with '" + got.why() + "'");
            }
            if (of.side() == Side.DISCOVERY && got.status() != 200) {
                wrong.add("answered " + got.status() + " though only discovery is faulty");
            }
        }

        /** @param served how many of the answers are 200 */
        private record Got(int answers, int status, int served, String why) { }

        private static Got ask(Socket client, String id, boolean unsafe, boolean patient) throws IOException {
            client.setTcpNoDelay(true);
            client.setSoTimeout((patient ? 3_000 : DEADLINE_MS) + LATE_MS);
            String text = (unsafe ? "POST" : "GET") + " /api/port?units=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id
                    + "\r\nX-Lane: " + (unsafe ? "order-submit" : "order-status") + "\r\nX-Plan: business\r\nX-Customer: "
                    + "0000000000000007\r\nX-Remaining-Ms: " + (patient ? 3_000 : DEADLINE_MS)
                    + "\r\nX-Quota: units=1,spread=1,first=0\r\n" + (unsafe ? "Content-Length: " + BODY.length() + "\r\n"
                    : "") + "\r\n" + (unsafe ? BODY : "");
            int answers = 0;
            int status = 0;
            int served = 0;
            String why = "";
            try {
                client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                InputStream in = new BufferedInputStream(client.getInputStream());
                while (true) {
                    String head = head(in);
                    if (head == null) {
                        return new Got(answers, status, served, answers == 0 ? "connection ended" : why);
                    }
                    int length = length(head);
                    byte[] body = length < 0 ? chunks(in) : in.readNBytes(length);
                    if (body.length < length) {
                        return new Got(answers, status, served, "ended inside an answer");
                    }
                    answers++;
                    served += head.startsWith("HTTP/1.1 200") ? 1 : 0;
                    if (answers == 1) {
                        status = Integer.parseInt(head.split(" ")[1]);
                        why = new String(body, StandardCharsets.US_ASCII);
                    }
                    client.setSoTimeout(30); // a second answer would come at once
                }
            } catch (SocketTimeoutException e) {
                return new Got(answers, status, served, answers == 0 ? "nothing in its time" : why);
            } catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException e) {
                return new Got(answers, status, served, answers == 0 ? e.toString() : why);
            }
        }

        private static String head(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.length() < 4 || head.indexOf("\r\n\r\n", head.length() - 4) < 0) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.append((char) next);
                if (head.length() > 16_384) {
                    throw new IOException("no end of the head");
                }
            }
            return head.toString();
        }

        /** A chunked body (RFC 9112 section 7.1), extensions ignored. */
        private static byte[] chunks(InputStream in) throws IOException {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            while (true) {
                StringBuilder line = new StringBuilder();
                for (int next = in.read(); next != '\n'; next = in.read()) {
                    if (next < 0 || line.length() > 100) {
                        throw new IOException("ended inside a chunk");
                    }
                    line.append((char) next);
                }
                int size = Integer.parseInt(line.toString().split(";")[0].strip(), 16);
                body.write(in.readNBytes(size));
                in.readNBytes(2);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }

        /** -1 for chunks. */
        private static int length(String head) {
            if (head.toLowerCase(java.util.Locale.ROOT).contains("\r\ntransfer-encoding: chunked")) {
                return -1;
            }
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    return Integer.parseInt(line.substring(15).strip());
                }
            }
            return 0;
        }
    }
}
