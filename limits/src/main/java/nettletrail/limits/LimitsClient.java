package nettletrail.limits;

import io.lettuce.core.ClientOptions;
import io.lettuce.core.RedisClient;
import io.lettuce.core.RedisCommandExecutionException;
import io.lettuce.core.RedisCredentials;
import io.lettuce.core.RedisCredentialsProvider;
import io.lettuce.core.RedisNoScriptException;
import io.lettuce.core.RedisURI;
import io.lettuce.core.ScriptOutputType;
import io.lettuce.core.SocketOptions;
import io.lettuce.core.TimeoutOptions;
import io.lettuce.core.api.StatefulRedisConnection;
import io.lettuce.core.api.async.RedisAsyncCommands;
import io.lettuce.core.codec.Base16;
import io.lettuce.core.codec.StringCodec;
import io.lettuce.core.protocol.ProtocolVersion;
import io.lettuce.core.resource.ClientResources;
import io.lettuce.core.resource.DefaultClientResources;
import io.lettuce.core.resource.Delay;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import nettletrail.core.Log;
import nettletrail.limits.LimitsDecider.Call;
import nettletrail.limits.LimitsDecider.Terms;
import nettletrail.limits.LimitsDecider.Told;

/**
 * The decider's calls over one connection (RESP3, the client library's). Nothing is decided here: each call ends in the
 * decider's word for an answer or for none, on the event loop. A call has a time-out and is never written a second time;
 * how many are out at once the decider bounds.
 */
final class LimitsClient implements LimitsDecider.Actions, AutoCloseable {
    private static final String SCRIPT = Base16.digest(LeaseScript.TEXT.getBytes(StandardCharsets.UTF_8));
    private static final long FIRST_BACK_OFF_MS = 100;
    private static final long MOST_BACK_OFF_MS = 2_000;
    private static final int MOST_QUEUED = 1_024;
    /** ms after which a call fails that there is no connection for. */
    private static final long FAILS_AFTER_MS = 50;

    /** What comes of a call. */
    private record Ending(Call call, Consumer<List<Told>> answered, Runnable failed) { }

    private final EventLoop loop;
    private final Terms terms;
    private final String prefix;
    private final ClientResources resources;
    private final RedisClient client;
    private final RedisURI uri;
    private final SplittableRandom random = new SplittableRandom();
    private LimitsDecider decider;
    private StatefulRedisConnection<String, String> connection;
    private boolean connecting;
    private boolean closed;
    private long backOffMs = FIRST_BACK_OFF_MS;
    private long connectAt = System.nanoTime();
    private String said = "";

    /**
     * @param loop on which the decider is told, and from which this is called
     * @param password asked for at each connection, or null for none
     */
    LimitsClient(EventLoop loop, InetSocketAddress counter, String prefix, Terms terms, long timeoutMs,
            Supplier<char[]> password) {
        this.loop = loop;
        this.terms = terms;
        this.prefix = prefix;
        Duration timeout = Duration.ofMillis(timeoutMs);
        uri = RedisURI.builder().withHost(counter.getAddress().getHostAddress()).withPort(counter.getPort())
                .withTimeout(timeout).build();
        if (password != null) {
            uri.setCredentialsProvider(RedisCredentialsProvider.from(
                    () -> RedisCredentials.just(null, password.get())));
        }
        resources = DefaultClientResources.builder().eventLoopGroupProvider(new OneLoop(loop)).eventExecutorGroup(loop)
                .reconnectDelay(Delay.decorrelatedJitter(FIRST_BACK_OFF_MS, MOST_BACK_OFF_MS, FIRST_BACK_OFF_MS,
                        TimeUnit.MILLISECONDS)).build();
        client = RedisClient.create(resources);
        client.setOptions(ClientOptions.builder().protocolVersion(ProtocolVersion.RESP3).autoReconnect(true)
                .disconnectedBehavior(ClientOptions.DisconnectedBehavior.REJECT_COMMANDS)
                // A call written again after a new connection could come after the decider has given it up.
                .replayFilter(command -> true)
                .requestQueueSize(MOST_QUEUED).timeoutOptions(TimeoutOptions.enabled(timeout))
                .socketOptions(SocketOptions.builder().connectTimeout(timeout).tcpNoDelay(true).build()).build());
    }

    /** Before the first call. */
    void tells(LimitsDecider told) {
        decider = told;
    }

    @Override
    public void call(Call call) {
        run(call, told -> decider.told(System.nanoTime(), call, told), () -> decider.failed(System.nanoTime(), call));
    }

    @Override
    public void beat(Call call) {
        if (connection == null) {
            connect();
        }
        run(call, told -> decider.beaten(System.nanoTime(), told.get(0)), () -> decider.beatFailed(System.nanoTime()));
    }

    private String newEpoch() {
        return Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    @Override
    public void log(String line) {
        Log.line(line);
    }

    private void connect() {
        long now = System.nanoTime();
        if (connecting || closed || now - connectAt < 0) {
            return;
        }
        connecting = true;
        client.connectAsync(StringCodec.UTF8, uri).whenComplete((made, fault) -> loop.execute(() -> {
            connecting = false;
            if (closed && made != null) {
                made.closeAsync();
            } else if (made != null) {
                connection = made;
                backOffMs = FIRST_BACK_OFF_MS;
            } else {
                // Full jitter; from the first connection on the library's own.
                connectAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1 + random.nextLong(backOffMs));
                backOffMs = Math.min(MOST_BACK_OFF_MS, 2 * backOffMs);
                complain(fault);
            }
        }));
    }

    /** What comes of it is told on the loop, later than this returns, and once. */
    private void run(Call call, Consumer<List<Told>> answered, Runnable failed) {
        if (connection == null || !connection.isOpen()) {
            loop.schedule(failed, FAILS_AFTER_MS, TimeUnit.MILLISECONDS);
            return;
        }
        String[] names = LeaseScript.keys(prefix, call.rows()).toArray(String[]::new);
        String[] values = LeaseScript.arguments(terms, call, newEpoch()).toArray(String[]::new);
        Ending ending = new Ending(call, answered, failed);
        RedisAsyncCommands<String, String> commands = connection.async();
        CompletionStage<List<Object>> answer = commands.evalsha(SCRIPT, ScriptOutputType.MULTI, names, values);
        if (answer.toCompletableFuture().isDone()) {
            loop.execute(() -> ended(answer, commands, names, values, ending));
        } else {
            ended(answer, commands, names, values, ending);
        }
    }

    private void ended(CompletionStage<List<Object>> answer, RedisAsyncCommands<String, String> commands, String[] names,
            String[] values, Ending ending) {
        answer.whenComplete((list, fault) -> {
            if (cause(fault) instanceof RedisNoScriptException) {
                CompletionStage<List<Object>> whole = commands.eval(LeaseScript.TEXT, ScriptOutputType.MULTI, names, values);
                whole.whenComplete((again, faultAgain) -> onLoop(() -> end(again, faultAgain, ending)));
            } else {
                onLoop(() -> end(list, fault, ending));
            }
        });
    }

    private void onLoop(Runnable run) {
        if (loop.inEventLoop()) {
            run.run();
        } else {
            loop.execute(run);
        }
    }

    private void end(List<Object> answer, Throwable fault, Ending ending) {
        if (closed) {
            return;
        }
        List<Told> told = null;
        try {
            told = fault == null ? LeaseScript.told(answer, ending.call().rows().size()) : null;
        } catch (IllegalArgumentException e) {
            complain(e);
        }
        if (told == null) {
            complain(fault);
            ending.failed().run();
        } else {
            ending.answered().accept(told);
        }
    }

    private static Throwable cause(Throwable fault) {
        return fault instanceof CompletionException && fault.getCause() != null ? fault.getCause() : fault;
    }

    /** One line for each kind of fault, not for each call; the library's messages name no secrets. */
    private void complain(Throwable fault) {
        String what = fault == null ? said : cause(fault).getClass().getSimpleName()
                + (cause(fault) instanceof RedisCommandExecutionException refused ? ": " + refused.getMessage() : "");
        if (!what.equals(said)) {
            said = what;
            Log.line("limits: the counter at " + uri.getHost() + ":" + uri.getPort() + ": " + what);
        }
    }

    @Override
    public void close() {
        closed = true;
        client.shutdownAsync(0, 1, TimeUnit.SECONDS).thenCompose(ended -> {
            resources.shutdown(0, 1, TimeUnit.SECONDS);
            return null;
        });
    }
}
