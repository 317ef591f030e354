package nettletrail.billing;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Takes CloudEvents batches by the rule of the export's design note: for each ledger it keeps the end of what it has, takes a
 * batch that follows, and answers with the end that it has then. Any thread.
 */
public final class StandInReceiver implements AutoCloseable {
    /** What it does with the next batch in place of the right thing. */
    public enum Fault {
        /** Says that it has it, and forgets. */
        FORGET,
        /** Takes it, and breaks before it answers. */
        BREAK,
        /** Takes the first half of its lines. */
        HALF,
        /** Asks to come again. */
        BUSY,
        /** Will never take it. */
        TURN_DOWN,
        /** Answers 200 without a word. */
        WORDLESS
    }

    private static final class Account {
        long end;
        final Map<Long, Long> lines = new HashMap<>();
        final Map<Long, String> kinds = new HashMap<>();
        long twice;

        Account copy() {
            Account copy = new Account();
            copy.end = end;
            copy.lines.putAll(lines);
            copy.kinds.putAll(kinds);
            copy.twice = twice;
            return copy;
        }
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newFixedThreadPool(2);
    private final Deque<Fault> faults = new ArrayDeque<>();
    private Map<String, Account> accounts = new HashMap<>();
    private boolean gone;
    private long batches;

    public StandInReceiver() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.createContext("/usage", this::take);
        server.setExecutor(threads);
        server.start();
    }

    public URI address() {
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/usage");
    }

    /** For the next batch, or behind those that are set already. */
    public synchronized void fault(Fault next) {
        faults.addLast(next);
    }

    /** Breaks every connection from now on, or no more. */
    public synchronized void gone(boolean now) {
        gone = now;
    }

    /** What it has, for {@link #restore}. */
    public synchronized Object backup() {
        Map<String, Account> copy = new HashMap<>();
        accounts.forEach((ledger, account) -> copy.put(ledger, account.copy()));
        return copy;
    }

    /** It is what it was at that backup. */
    @SuppressWarnings("unchecked")
    public synchronized void restore(Object backup) {
        accounts = new HashMap<>();
        ((Map<String, Account>) backup).forEach((ledger, account) -> accounts.put(ledger, account.copy()));
    }

    /** Units (thousandths) billed, of all ledgers. */
    public synchronized long milli() {
        return accounts.values().stream().flatMap(each -> each.lines.values().stream()).mapToLong(Long::longValue).sum();
    }

    /** Lines of a kind. */
    public synchronized long lines(String kind) {
        return accounts.values().stream().flatMap(each -> each.kinds.values().stream()).filter(kind::equals).count();
    }

    /** Lines that were added though they were there. */
    public synchronized long twice() {
        return accounts.values().stream().mapToLong(each -> each.twice).sum();
    }

    /** Batches that came whole. */
    public synchronized long batches() {
        return batches;
    }

    private void take(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String answer;
        int status = 200;
        synchronized (this) {
            if (gone) {
                exchange.close();
                return;
            }
            batches++;
            Fault fault = faults.isEmpty() ? null : faults.pollFirst();
            String ledger = exchange.getRequestHeaders().getFirst("X-Usage-Ledger");
            Account there = accounts.computeIfAbsent(ledger, name -> new Account());
            Account account = fault == Fault.FORGET ? there.copy() : there;
            if (fault == Fault.BUSY) {
                exchange.getResponseHeaders().set("Retry-After", "0");
                status = 503;
            } else if (fault == Fault.TURN_DOWN) {
                status = 422;
            } else {
                add(account, exchange, body, fault == Fault.HALF);
            }
            if (fault == Fault.BREAK) {
                exchange.close();
                return;
            }
            answer = fault == Fault.WORDLESS ? "{}" : status == 422 ? "no such plan" : "{\"end\":" + account.end + "}";
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static void add(Account account, HttpExchange exchange, byte[] body, boolean half) throws IOException {
        String[] bounds = exchange.getRequestHeaders().getFirst("X-Usage-Batch").split("-");
        long to = Long.parseLong(bounds[1]);
        if (Long.parseLong(exchange.getRequestHeaders().getFirst("X-Usage-Before")) > account.end || to <= account.end) {
            return;
        }
        List<Map<String, Object>> events = JSON.std.listFrom(body).stream().map(StandInReceiver::object).toList();
        int most = half ? events.size() / 2 : events.size();
        long end = account.end;
        for (Map<String, Object> event : events.subList(0, most)) {
            long id = Long.parseLong((String) event.get("id"));
            Map<String, Object> data = object(event.get("data"));
            if (id > account.end) {
                account.twice += account.lines.put(id, ((Number) data.get("milli")).longValue()) == null ? 0 : 1;
                account.kinds.put(id, (String) data.get("kind"));
            }
            end = Math.max(end, id);
        }
        account.end = half ? end : to;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
