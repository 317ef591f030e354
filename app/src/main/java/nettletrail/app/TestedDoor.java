package nettletrail.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.core.Frontend;
import nettletrail.core.Log;
import nettletrail.door.FrontDoor;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * A front door as tests of several processes start it: {@code serve}, ended when its standard input ends (so that none is
 * left behind when the test is killed), and with faults on command: {@code late MS} holds its event loop up by so much on
 * each turn.
 */
@Command(name = "tested-door", hidden = true)
final class TestedDoor implements Callable<Integer> {
    private static final int KILLED = 137;

    @Option(names = "--operator", paramLabel = "FILE", required = true)
    private Path file;

    private volatile long lateMs;

    @Override
    public Integer call() throws InterruptedException, OperatorFile.Unusable {
        FrontDoorExtensions additions = App.additions(OperatorFile.read(file));
        List<Frontend.Factory> fronts = new ArrayList<>(additions.frontends());
        fronts.add((group, reader, settings) -> {
            var loop = group.next();
            Thread orders = new Thread(() -> orders(() -> loop.execute(() -> holdUp(loop))), "orders");
            orders.setDaemon(true);
            orders.start();
            return new ControlFront(group, null, null) {
                @Override
                public void open(nettletrail.core.Dispatcher dispatcher) { }
            };
        });
        FrontDoor.serve(System.getenv(), new FrontDoorExtensions(fronts, additions.limiter(), additions.authorizer(),
                additions.membership(), additions.aperture()));
        return 0;
    }

    private void orders(Runnable holdUp) {
        try (BufferedReader from = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                if (line.startsWith("late ")) {
                    long before = lateMs;
                    lateMs = Long.parseLong(line.substring("late ".length()));
                    if (before == 0) {
                        holdUp.run();
                    }
                }
            }
        } catch (IOException | NumberFormatException e) {
            Log.line("tested-door: " + e.getMessage());
        }
        Runtime.getRuntime().halt(KILLED);
    }

    private void holdUp(io.netty.channel.EventLoop loop) {
        long ms = lateMs;
        if (ms > 0) {
            try {
                TimeUnit.MILLISECONDS.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            loop.schedule(() -> holdUp(loop), 1, TimeUnit.MILLISECONDS);
        }
    }
}
