package nettletrail.app.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * How a child of the measure is told what to do: a line on standard input, answered by one on standard output that begins
 * with {@link #REPLY}. It ends when its input does, so that none outlives its parent.
 */
final class Orders {
    static final String REPLY = "= ";
    private static final int KILLED = 137;

    /** One order; its answer is written as JSON. */
    interface Handler {
        Object on(List<String> words) throws Exception;
    }

    private Orders() { }

    /** Never returns. */
    static void follow(Object greeting, Handler handler) throws IOException {
        say(greeting);
        try (BufferedReader from = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                try {
                    say(handler.on(List.of(line.strip().split(" "))));
                } catch (Exception e) {
                    say("fault: " + e);
                }
            }
        }
        Runtime.getRuntime().halt(KILLED);
    }

    private static void say(Object told) throws IOException {
        System.out.println(REPLY + JSON.std.asString(told));
        System.out.flush();
    }
}
