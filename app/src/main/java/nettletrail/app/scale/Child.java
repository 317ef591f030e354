package nettletrail.app.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.app.processes.ChildJvm;

/** A process of the measure that follows {@link Orders}. One thread at a time. */
final class Child implements AutoCloseable {
    private static final int REPLY_S = 90;
    private static final int MOST_KEPT = 40;

    private final String name;
    private final BlockingQueue<String> replies = new LinkedBlockingQueue<>();
    private final ArrayDeque<String> said = new ArrayDeque<>();
    private final ChildJvm jvm;

    /** Starts it; its greeting is its first reply. */
    Child(String name, int heapMb, List<String> arguments) throws IOException {
        this.name = name;
        jvm = new ChildJvm(Map.of(), heapMb, this::heard, arguments.toArray(String[]::new));
    }

    private void heard(String line) {
        if (line.startsWith(Orders.REPLY)) {
            replies.add(line.substring(Orders.REPLY.length()));
            return;
        }
        synchronized (said) {
            said.add(line);
            if (said.size() > MOST_KEPT) {
                said.poll();
            }
        }
    }

    void tell(String order) throws IOException {
        jvm.tell(order);
    }

    /** The next reply: a map, a list, a number or a text. */
    Object reply() throws IOException, InterruptedException {
        for (int i = 0; i < REPLY_S * 10; i++) {
            String reply = replies.poll(100, TimeUnit.MILLISECONDS);
            if (reply != null) {
                Object told = JSON.std.anyFrom(reply);
                if (told instanceof String text && text.startsWith("fault: ")) {
                    throw new IOException(name + ": " + text);
                }
                return told;
            }
            if (!jvm.alive()) {
                break;
            }
        }
        synchronized (said) {
            throw new IOException(name + (jvm.alive() ? " gave no answer in " + REPLY_S + " s" : " has ended")
                    + "; it said:\n" + String.join("\n", said));
        }
    }

    Object ask(String order) throws IOException, InterruptedException {
        tell(order);
        return reply();
    }

    /** The same of many side by side. */
    static List<Object> askAll(List<Child> children, String order) throws IOException, InterruptedException {
        for (Child each : children) {
            each.tell(order);
        }
        List<Object> replies = new ArrayList<>();
        for (Child each : children) {
            replies.add(each.reply());
        }
        return replies;
    }

    long pid() {
        return jvm.pid();
    }

    boolean alive() {
        return jvm.alive();
    }

    @Override
    public void close() {
        jvm.close();
    }
}
