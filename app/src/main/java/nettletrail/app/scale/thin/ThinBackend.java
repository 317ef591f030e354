package nettletrail.app.scale.thin;

import java.util.ArrayDeque;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Outcome;

/** A backend: slots, a queue and drawn times. Called by the fleet's one thread. */
final class ThinBackend {
    private static final long MS = 1_000_000L;
    /** ns until one that turns away or refuses a connect has said so. */
    private static final long REFUSAL_NS = MS;

    final int index;
    private final ThinFleet fleet;
    private final ThinCase play;
    private final ArrayDeque<Attempt> queued = new ArrayDeque<>();
    private final ArrayDeque<Attempt> working = new ArrayDeque<>();
    private long startedAt;
    private long warmingFrom = Long.MIN_VALUE;
    private boolean down;
    int sends;

    /** One request at it. */
    static final class Attempt {
        final ThinDoor door;
        final long requestId;
        final long sentAt;
        boolean ended;

        Attempt(ThinDoor door, long requestId, long sentAt) {
            this.door = door;
            this.requestId = requestId;
            this.sentAt = sentAt;
        }
    }

    ThinBackend(ThinFleet fleet, ThinCase play, int index) {
        this.fleet = fleet;
        this.play = play;
        this.index = index;
    }

    int zone() {
        return index % ThinCase.ZONES;
    }

    /** Requests at it, in work or queued. */
    int load() {
        return working.size() + queued.size();
    }

    /** What the list says of it. */
    Backend entry() {
        return new Backend(index, zone(), 0, 0, DiscoveryState.READY, 1, startedAt);
    }

    void take(ThinDoor door, long requestId) {
        sends++;
        Attempt attempt = new Attempt(door, requestId, fleet.now());
        if (down) {
            fleet.in(REFUSAL_NS, () -> end(attempt, Outcome.CONNECT_FAILED));
        } else if (working.size() < play.slots()) {
            work(attempt);
        } else if (play.queue() > 0 && queued.size() >= play.queue()) {
            fleet.in(REFUSAL_NS, () -> end(attempt, Outcome.FULL));
        } else {
            queued.add(attempt);
        }
    }

    private void work(Attempt attempt) {
        working.add(attempt);
        double ms = play.serviceMs() / 2 * (1 - Math.log(1 - fleet.chance().nextDouble()));
        fleet.in((long) (ms * MS / warmth()), () -> {
            if (working.remove(attempt)) {
                Attempt next = queued.poll();
                if (next != null) {
                    work(next);
                }
                end(attempt, Outcome.OK);
            }
        });
    }

    private void end(Attempt attempt, Outcome outcome) {
        if (!attempt.ended) {
            attempt.ended = true;
            attempt.door.ended(this, attempt, outcome);
        }
    }

    /** The share of its capacity that it has. */
    private double warmth() {
        if (warmingFrom == Long.MIN_VALUE) {
            return 1;
        }
        double age = (fleet.now() - warmingFrom) / (double) (ThinCase.RAMP_MS * MS);
        return Math.min(1, ThinCase.COLD_SHARE + (1 - ThinCase.COLD_SHARE) * age);
    }

    /** Goes down: what is out breaks. */
    void stop() {
        down = true;
        ArrayDeque<Attempt> broken = new ArrayDeque<>(working);
        broken.addAll(queued);
        working.clear();
        queued.clear();
        broken.forEach(attempt -> end(attempt, Outcome.RESET));
    }

    /** Started just now; slow at first only if it went down before. */
    void start() {
        startedAt = fleet.now();
        if (down) {
            warmingFrom = startedAt;
        }
        down = false;
    }
}
