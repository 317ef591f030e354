package nettletrail.faults;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Which toxics a connection gets. A toxic applies if the connection's number, its client's address and the time since
 * the relay's start match its rule, and if a draw for the pair of toxic and connection falls under its toxicity. The
 * draw is made of seed, name and number alone, so that the same connections are hit in every run, whatever else is
 * added or removed. No I/O, no clock.
 */
final class FaultDecider {
    private final long seed;

    FaultDecider(long seed) {
        this.seed = seed;
    }

    List<Toxic> of(Collection<Toxic> all, long connection, String address, long sinceStartMs) {
        List<Toxic> chosen = new ArrayList<>();
        for (Toxic toxic : all) {
            Toxic.When when = toxic.when();
            if (connection >= when.first() && connection <= when.last() && address.startsWith(when.address())
                    && sinceStartMs >= when.afterMs() && sinceStartMs < when.untilMs()
                    && random(toxic.name(), connection).nextDouble() < toxic.toxicity()) {
                chosen.add(toxic);
            }
        }
        return chosen;
    }

    /** For a toxic's own draws on a connection. */
    SplittableRandom random(String name, long connection) {
        return new SplittableRandom(seed * 0x9e3779b97f4a7c15L + name.hashCode() * 31L + connection);
    }
}
