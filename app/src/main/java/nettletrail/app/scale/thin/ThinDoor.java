package nettletrail.app.scale.thin;

import java.util.Arrays;
import java.util.List;
import nettletrail.decision.ApertureGateway;
import nettletrail.decision.ApertureSettings;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.AttemptReport;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DedupScope;
import nettletrail.decision.Gateway.Idempotency;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.Gateway.Plan;
import nettletrail.decision.Gateway.Request;
import nettletrail.decision.Gateway.RequestClass;
import nettletrail.decision.Gateway.Settings;
import nettletrail.decision.GatewayDecider;

/** A front door: the module, or one of the plain choices it is held against. Called by the fleet's one thread. */
final class ThinDoor {
    private static final long MS = 1_000_000L;
    static final RequestClass KIND =
            new RequestClass(ThinCase.AIM_MS * MS, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
    static final Plan FREE = new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1);
    private static final long NEVER = Long.MIN_VALUE / 2;

    final int index;
    private final ThinFleet fleet;
    private final ThinCase play;
    private final Gateway brain;
    /** Of all backends, those from here on are in the arc of a plain choice; their number. */
    private final int arcFrom;
    private final int arcSize;
    private int turn;
    private final long[] lastSent;
    private final long[] lastEnded;
    private final int[] out;

    ThinDoor(ThinFleet fleet, ThinCase play, int index) {
        this.fleet = fleet;
        this.play = play;
        this.index = index;
        long each = play.doorsEach();
        arcFrom = each == 0 ? 0 : (int) ((long) index * play.backends() / play.doors());
        arcSize = each == 0 ? play.backends()
                : (int) ((index + each) * play.backends() / play.doors()) - arcFrom;
        lastSent = new long[play.backends()];
        lastEnded = new long[play.backends()];
        out = new int[play.backends()];
        Arrays.fill(lastSent, NEVER);
        Arrays.fill(lastEnded, NEVER);
        turn = fleet.chance().nextInt(arcSize);
        brain = play.choice() == ThinCase.Choice.MODULE ? module() : null;
    }

    private Gateway module() {
        Settings settings = settings(play.doors(), index, play.seed());
        return ApertureGateway.wrap(new GatewayDecider(settings, fleet.now(), actions()), settings, index,
                play.doorsEach() == 0
                ? ApertureSettings.OFF : new ApertureSettings(true, 1, play.doorsEach()));
    }

    static Settings settings(int gateways, int index, long seed) {
        return new Settings(gateways, index % ThinCase.ZONES, seed * 10_007 + index, MS, 4, false,
                ThinCase.COLD_SHARE, ThinCase.RAMP_MS * MS, ThinCase.OVERLOAD_MULTIPLE,
                ThinCase.OVERLOAD_SPAN_MS * MS, 0, 1_000 * MS, List.of(KIND), List.of(FREE));
    }

    void listed(boolean whole, List<Backend> entries) {
        if (brain != null) {
            fleet.timed(() -> brain.onBackends(fleet.now(), whole, entries));
        }
    }

    void arrived(long requestId) {
        fleet.in(ThinCase.DEADLINE_MS * MS, () -> {
            if (fleet.left(requestId) && brain != null) {
                fleet.timed(() -> brain.onRequestCancelled(fleet.now(), requestId));
            }
        });
        if (brain != null) {
            Request request = new Request(requestId, 0, 0, fleet.chance().nextInt(ThinCase.CUSTOMERS), 1,
                    play.doors(), ThinCase.DEADLINE_MS * MS);
            fleet.timed(() -> brain.onRequest(fleet.now(), request));
        } else {
            send(requestId, plainChoice());
        }
    }

    private int plainChoice() {
        return switch (play.choice()) {
            case RANDOM -> (arcFrom + fleet.chance().nextInt(arcSize)) % play.backends();
            case ROUND_ROBIN -> (arcFrom + turn++ % arcSize) % play.backends();
            case LEAST_LOADED -> fleet.leastLoaded();
            case MODULE -> throw new IllegalStateException("the module chooses by itself");
        };
    }

    private void send(long requestId, int backend) {
        boolean kept = out[backend] == 0 && fleet.now() - lastEnded[backend] <= ThinCase.IDLE_MS * MS;
        fleet.sent(requestId, kept);
        lastSent[backend] = fleet.now();
        out[backend]++;
        fleet.backend(backend).take(this, requestId);
    }

    void ended(ThinBackend backend, ThinBackend.Attempt attempt, Outcome outcome) {
        out[backend.index]--;
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            lastEnded[backend.index] = fleet.now();
        }
        boolean ended = outcome == Outcome.OK ? fleet.served(attempt.requestId) : !fleet.open(attempt.requestId);
        if (brain != null) {
            AttemptReport answer = new AttemptReport(attempt.requestId, 0, backend.index, outcome,
                    ended || outcome == Outcome.OK, fleet.now() - attempt.sentAt, -1, 0, null);
            fleet.timed(() -> brain.onAttemptEnd(fleet.now(), answer));
        } else if (outcome != Outcome.OK && !ended) {
            send(attempt.requestId, plainChoice());
        }
    }

    private Gateway.Actions actions() {
        return new Gateway.Actions() {
            @Override
            public void send(long requestId, long backendId, long timeoutNs) {
                ThinDoor.this.send(requestId, (int) backendId);
            }

            @Override
            public void reject(long requestId, long retryAfterNs) {
                fleet.refused(requestId);
            }

            @Override
            public void fail(long requestId) {
                fleet.failed(requestId);
            }

            @Override
            public void startTimer(int token, long ns) {
                fleet.in(ns, () -> fleet.timed(() -> brain.onTimer(fleet.now(), token)));
            }

            @Override
            public void subscribeBackends() { }

            @Override
            public void log(String line) { }
        };
    }

    /** Connections in use or kept now. */
    int connections() {
        int sum = 0;
        for (int i = 0; i < out.length; i++) {
            sum += out[i] > 0 || fleet.now() - lastEnded[i] <= ThinCase.IDLE_MS * MS ? 1 : 0;
        }
        return sum;
    }

    /** Backends sent to in the last minute. */
    int backendsOfTheLastMinute() {
        int sum = 0;
        for (long sent : lastSent) {
            sum += fleet.now() - sent <= 60_000 * MS ? 1 : 0;
        }
        return sum;
    }
}
