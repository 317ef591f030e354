package nettletrail.app;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** What operators may ask of, and tell, a running front door, by path; served where {@code [control]} says. */
final class Desk {
    /** Answers what is asked under its path. */
    interface Clerk {
        /**
         * @param asked by name, from the query
         * @param answer takes JSON values, once, on whatever thread; a {@link Sorry} for what can't be done
         */
        void asked(Map<String, String> asked, Consumer<Object> answer);
    }

    /** It can't be done; one line says why. */
    record Sorry(String why) { }

    private final Map<String, Clerk> clerks = new ConcurrentHashMap<>();

    /** Who answers under this path from now on, as {@code members}. */
    void serve(String path, Clerk clerk) {
        clerks.put(path, clerk);
    }

    /** Null if nobody does. */
    Clerk clerk(String path) {
        return clerks.get(path);
    }

    /** All paths, for who asks for one that there is none of. */
    String paths() {
        return String.join(", ", new TreeMap<>(clerks).keySet());
    }
}
