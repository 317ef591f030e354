package nettletrail.app;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import nettletrail.faults.FaultRelay;

/** All faults on all sides of a front door, then seeded pairs of them; and what the relay costs where it breaks nothing. */
final class MeasureFaults implements Measure.Measurement {
    private static final int AT_ONCE = 16;
    private static final int SEEDS = 200;
    private static final int MIB = 1 << 20;
    private static final int MOST_MIB = 1_024;

    @Override
    public Measure.Result run(Measure.Options options) throws Exception {
        List<FaultMatrix.Case> cases = FaultMatrix.all();
        int whole = cases.size();
        if (options.part(whole) < whole) {
            Collections.shuffle(cases, new Random(options.seed()));
            cases = new ArrayList<>(cases.subList(0, Math.max(AT_ONCE, options.part(whole))));
        }
        int seeds = options.part(SEEDS);
        for (long seed = 0; seed < seeds; seed++) {
            cases.add(FaultMatrix.mixed(options.seed() * 1_000 + seed));
        }
        // What hundreds of front doors log of their starts and faults is not what is measured.
        PrintStream err = System.err;
        System.setErr(new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8));
        long before;
        List<FaultMatrix.Seen> seen;
        try {
            FaultMatrix.run(cases.subList(0, AT_ONCE), AT_ONCE); // classes and threads that stay
            before = descriptors();
            seen = FaultMatrix.run(cases, AT_ONCE);
        } finally {
            System.setErr(err);
        }
        long left = -1;
        for (int i = 0; i < 50 && left != 0; i++) {
            left = Math.max(0, descriptors() - before);
            Thread.sleep(left == 0 ? 0 : 100);
        }
        double straight = mibPerS(false, options);
        double relayed = mibPerS(true, options);
        long missing = 0;
        long twice = 0;
        long ranTwice = 0;
        long repeated = 0;
        List<String> broken = new ArrayList<>();
        for (FaultMatrix.Seen each : seen) {
            missing += each.answers() == 0 && each.of().side() != FaultMatrix.Side.CLIENT ? 1 : 0;
            twice += each.answeredTwice() ? 1 : 0;
            ranTwice += each.ranTwice() ? 1 : 0;
            repeated += each.of().unsafe() && each.repeatedByRelay() ? 1 : 0;
            each.wrong().forEach(what -> broken.add(each.of().name() + ": " + what));
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("cases", seen.size());
        figures.put("answers_missing", missing);
        figures.put("answers_twice", twice);
        figures.put("submits_run_twice", ranTwice);
        figures.put("submits_repeated_by_relay", repeated);
        figures.put("descriptors_left", left);
        figures.put("seeds", seeds);
        figures.put("relay_mb_per_s", Math.round(relayed));
        figures.put("straight_mb_per_s", Math.round(straight));
        figures.put("relay_ratio", Math.round(relayed / straight * 100) / 100.0);
        if (left != 0) {
            broken.add("descriptors_left is " + left + ", not 0");
        }
        return new Measure.Result(figures, broken);
    }

    private static long descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
            return open.count();
        }
    }

    /** One connection, one way, for some seconds at most. */
    private static double mibPerS(boolean relayed, Measure.Options options) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket sink = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            long[] took = new long[1];
            Thread reader = new Thread(() -> {
                try (Socket from = sink.accept()) {
                    InputStream in = from.getInputStream();
                    byte[] buffer = new byte[256 << 10];
                    while (in.read(buffer) >= 0) {
                        took[0] = System.nanoTime();
                    }
                } catch (IOException e) {
                    took[0] = Long.MAX_VALUE;
                }
            });
            reader.start();
            InetSocketAddress to = (InetSocketAddress) sink.getLocalSocketAddress();
            FaultRelay relay = relayed ? FaultRelay.start(group, to, options.seed()) : null;
            InetSocketAddress address = relayed ? relay.address() : to;
            byte[] block = new byte[MIB];
            long start;
            int sent = 0;
            try (Socket out = new Socket(address.getAddress(), address.getPort())) {
                OutputStream stream = out.getOutputStream();
                start = System.nanoTime();
                for (; sent < MOST_MIB && System.nanoTime() - start < TimeUnit.SECONDS.toNanos(options.part(3)); sent++) {
                    stream.write(block);
                }
            }
            reader.join(5_000);
            if (relay != null) {
                relay.close();
            }
            return sent / ((took[0] - start) / 1e9);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
