package nettletrail.app.explore;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * All orders of steps, breadth first, each state once: a world is played anew for each path, since real classes can't be
 * copied. From each state on, all is also played to its end without further faults, and what is so there is looked at.
 */
public final class Explorer {
    /** A small world; the same steps lead to the same state. */
    public interface World {
        /** What may happen next, bounds kept. */
        List<String> steps();

        void step(String step);

        /** All that what follows depends on. */
        String state();

        /** A promise that is broken, or null. */
        String wrong();

        /** Plays on without faults; what is wrong at the end, or null. */
        String wrongAtTheEnd();
    }

    /**
     * What was found.
     *
     * @param states looked at
     * @param all whether these are all within the world's bounds
     * @param wrong a broken promise, or null
     * @param path to it
     */
    public record Result(int states, boolean all, int depth, String wrong, List<String> path) { }

    private Explorer() { }

    private record Found(List<String> path, String state, String wrong) { }

    /**
     * Level by level, each on all cores: what is found doesn't depend on how many there are.
     *
     * @param most states looked at, at most
     * @param endsEvery of so many states the end is played
     */
    public static Result explore(Supplier<? extends World> worlds, int most, int endsEvery) {
        Set<String> known = new HashSet<>();
        List<List<String>> level = List.of(List.of());
        for (int depth = 1; !level.isEmpty(); depth++) {
            List<List<Found>> found = level.parallelStream().map(path -> next(worlds, path, endsEvery)).toList();
            List<List<String>> below = new ArrayList<>();
            for (List<Found> from : found) {
                for (Found each : from) {
                    if (!known.add(each.state())) {
                        continue;
                    }
                    if (each.wrong() != null) {
                        return new Result(known.size(), false, depth, each.wrong(), each.path());
                    }
                    if (known.size() >= most) {
                        return new Result(known.size(), false, depth, null, List.of());
                    }
                    below.add(each.path());
                }
            }
            if (below.isEmpty()) {
                return new Result(known.size(), true, depth - 1, null, List.of());
            }
            level = below;
        }
        throw new IllegalStateException("a level was empty");
    }

    private static List<Found> next(Supplier<? extends World> worlds, List<String> path, int endsEvery) {
        List<Found> found = new ArrayList<>();
        for (String step : play(worlds, path).steps()) {
            List<String> longer = new ArrayList<>(path);
            longer.add(step);
            World next = play(worlds, longer);
            String state = next.state();
            String wrong = next.wrong();
            if (wrong == null && Math.floorMod(state.hashCode(), endsEvery) == 0) {
                wrong = next.wrongAtTheEnd();
            }
            found.add(new Found(longer, digest(state), wrong));
        }
        return found;
    }

    /** Far shorter than the state; two states with one digest are not to be expected. */
    private static String digest(String state) {
        try {
            return new String(MessageDigest.getInstance("SHA-256").digest(state.getBytes(StandardCharsets.UTF_8)),
                    StandardCharsets.ISO_8859_1);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static World play(Supplier<? extends World> worlds, List<String> path) {
        World world = worlds.get();
        path.forEach(world::step);
        return world;
    }
}
