package nettletrail.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.Members.Life;
import nettletrail.members.Statement.State;

/**
 * Questions to others and what comes of them: each straight first, then through helpers, for this member itself and as a
 * helper in another's place. What a failed one leads to is {@link MembersDecider}'s.
 */
final class Prober {
    /** Hears how a probe ended. */
    interface Ended {
        void ended(Probe probe, long now);
    }

    private final Roster roster;
    private final Terms terms;
    private final Ended ended;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Integer, Probe.Relay> relays = new LinkedHashMap<>();
    /** When probes were sent since the last answer from anyone. */
    private final List<Long> asked = new ArrayList<>();
    private int sequence;
    private long answeredAt;

    Prober(Roster roster, long now, Ended ended) {
        this.roster = roster;
        this.ended = ended;
        terms = roster.terms;
        answeredAt = now;
    }

    void tick(long now) {
        helpersAnswer(now);
        for (Probe each : List.copyOf(probes.values())) {
            if (now >= each.endsAt) {
                probes.remove(each.sequence);
                ended.ended(each, now);
            } else if (!each.answered && each.asked < 0 && now >= each.helpAt) {
                askHelpers(each);
            }
        }
    }

    void probe(Peer whom, long now) {
        Probe probe = new Probe(++sequence, whom.life(), now, now + roster.health.scaled(terms.ackNs()),
                now + roster.health.scaled(terms.periodNs()));
        probes.put(probe.sequence, probe);
        asked.add(now);
        roster.send(whom, new Message.Ping(probe.sequence, "", probe.sequence));
    }

    /** A word that no probe waits for. */
    void ping(Peer whom) {
        roster.send(whom, new Message.Ping(++sequence, "", sequence));
    }

    private void askHelpers(Probe probe) {
        probe.asked = 0;
        List<Peer> helpers = roster.shuffled(each -> each.state() == State.ALIVE && !each.statement.cut()
                && !each.life().equals(probe.whom));
        // Those whose way to it is not told broken first; the order among them stays random.
        helpers.sort(Comparator.comparing(each -> each.outBroken || each.inBroken
                || roster.broken(each.name(), probe.whom.name())));
        for (Peer each : helpers.subList(0, Math.min(terms.helpers(), helpers.size()))) {
            probe.asked++;
            roster.send(each, new Message.PingRequest(probe.sequence, probe.whom));
        }
    }

    /** Nothing is concluded from what is out: a time that this member knows nothing of has passed. */
    void voided(long gap) {
        probes.clear();
        asked.clear();
        answeredAt += gap;
    }

    void clear() {
        probes.clear();
        relays.clear();
    }

    /** How long nobody has answered. */
    long unansweredNs(long now) {
        return now - answeredAt;
    }

    /** How long ago the n-th probe since the last answer was sent; below 0 if there weren't so many. */
    long askedNs(int nth, long now) {
        return asked.size() < nth ? -1 : now - asked.get(nth - 1);
    }

    /** Somebody answered something. */
    void answered(long now) {
        answeredAt = now;
        asked.clear();
    }

    void acked(long now, Peer from, Message.Ack ack) {
        Probe.Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            Peer asker = roster.peers.get(relay.asker().name());
            if (asker != null) {
                roster.send(asker, new Message.Ack(relay.askers(), ack.straight()));
            }
        }
        Probe probe = probes.get(ack.sequence());
        Peer whom = probe == null ? from : roster.peers.get(probe.whom.name());
        if (probe == null || whom == null || !whom.life().equals(probe.whom)) {
            return;
        }
        probe.answered = true;
        whom.answeredAt = now;
        if (whom == from) {
            roster.link(whom, false, false);
        } else {
            // Through a helper: which of the two ways is broken, the other end knows.
            roster.link(whom, !ack.straight(), ack.straight() && whom.heardAt < probe.startedAt);
        }
    }

    void nacked(Message.Nack nack) {
        Probe probe = probes.get(nack.sequence());
        if (probe != null) {
            probe.nacks++;
        }
    }

    void help(long now, Peer asker, Message.PingRequest request) {
        Peer whom = roster.peers.get(request.whom().name());
        if (whom == null || !whom.life().equals(request.whom())) {
            roster.send(asker, new Message.Nack(request.sequence()));
            return;
        }
        relays.put(++sequence, new Probe.Relay(asker.life(), request.sequence(), now + terms.ackNs()));
        roster.send(whom, new Message.Ping(sequence, asker.name(), request.sequence()));
    }

    private void helpersAnswer(long now) {
        for (Iterator<Probe.Relay> all = relays.values().iterator(); all.hasNext();) {
            Probe.Relay each = all.next();
            Peer asker = roster.peers.get(each.asker().name());
            if (now >= each.endsAt()) {
                all.remove();
                if (asker != null) {
                    roster.send(asker, new Message.Nack(each.askers()));
                }
            }
        }
    }

    String state(long now) {
        StringBuilder text = new StringBuilder().append(asked.size()).append(now - answeredAt);
        probes.values().forEach(each -> text.append(each.whom).append(now - each.startedAt).append(each.answered)
                .append(each.asked).append(each.nacks));
        relays.values().forEach(text::append);
        return text.toString();
    }
}
