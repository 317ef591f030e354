package nettletrail.members;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import nettletrail.core.Members.Life;
import nettletrail.core.Members.View;

/** Whatever order statements come in, and whatever bytes come at all. */
class StatementProperties {
    @Provide
    Arbitrary<Statement> statements() {
        return Combinators.combine(Arbitraries.integers().between(1, 3), Arbitraries.integers().between(0, 3),
                Arbitraries.of(Statement.State.class)).as((life, incarnation, state) ->
                        new Statement(new Life("n1", life), incarnation, state, "127.0.0.1:1", false, ""));
    }

    private static Statement believed(List<Statement> told) {
        Statement believed = told.get(0);
        for (Statement each : told) {
            believed = each.overrides(believed) ? each : believed;
        }
        return believed;
    }

    @Property
    boolean allWhoHearTheSameBelieveTheSame(@ForAll("told") List<Statement> told, @ForAll long seed) {
        List<Statement> other = new ArrayList<>(told);
        other.addAll(told.subList(0, told.size() / 2));
        Collections.shuffle(other, new Random(seed));
        return believed(told).equals(believed(other));
    }

    @Provide
    Arbitrary<List<Statement>> told() {
        return statements().list().ofMinSize(1).ofMaxSize(12);
    }

    @Property
    boolean whatIsSaidOfAnOlderIncarnationNeverWins(@ForAll("statements") Statement one, @ForAll("statements") Statement other) {
        boolean older = one.who().number() < other.who().number() || one.who().equals(other.who())
                && one.incarnation() < other.incarnation() && (one.state() != Statement.State.LEFT
                        || other.state() == Statement.State.LEFT);
        return !older || !one.overrides(other);
    }

    /** Any bytes, and those of real messages with some of them changed, are read or refused, never more. */
    @Property(tries = 3_000)
    void anyBytesAreReadOrRefused(@ForAll byte[] bytes, @ForAll int at, @ForAll byte by) {
        Life life = new Life("n0", 5);
        byte[] real = Codec.bytes(new Message.Datagram(life, 7, new Message.PingRequest(3, new Life("n2", 9)), List.of(
                Statement.alive(life, 3, "127.0.0.1:80", false)), List.of(new Row(life, 2, List.of(new Row.Link("n3", true,
                        false))))), 4);
        real[Math.floorMod(at, real.length)] ^= by;
        byte[] agree = Codec.bytes(new Agree.Accept(new Agree.Ballot(3, life), new View(3, List.of(life)),
                new View(4, List.of(life)), true));
        agree[Math.floorMod(at, agree.length)] ^= by;
        for (byte[] each : List.of(bytes, real, agree)) {
            read(() -> Codec.datagram(each));
            read(() -> Codec.agree(each));
            read(() -> Codec.known(each));
        }
    }

    private interface Reading {
        Object read() throws Refused;
    }

    private static void read(Reading reading) {
        try {
            reading.read();
        } catch (Refused e) {
            if (e.why() != Dropped.MALFORMED) {
                throw new AssertionError(e);
            }
        }
    }

    @Property
    void everyAgreementMessageIsReadAsItWasWritten(@ForAll("views") View last, @ForAll("views") View next) throws Refused {
        Life life = new Life("n1", 9);
        Agree.Ballot ballot = new Agree.Ballot(3, life);
        for (Agree each : List.of(new Agree.Prepare(ballot, last), new Agree.Promise(last.number(), ballot, null, null),
                new Agree.Promise(last.number(), ballot, ballot, next), new Agree.Accept(ballot, last, next, true),
                new Agree.Accepted(last.number(), ballot), new Agree.Refusal(last.number(), ballot, ballot, life, next),
                new Agree.Refusal(last.number(), ballot, null, null, next), new Agree.Decided(next), new Agree.Ask(last.number(), 7),
                new Agree.Grant(last.number(), 7))) {
            if (!Codec.agree(Codec.bytes(each)).equals(each)) {
                throw new AssertionError(each.toString());
            }
        }
    }

    @Provide
    Arbitrary<View> views() {
        return Combinators.combine(Arbitraries.longs().between(0, 9), Arbitraries.integers().between(1, 5).list().ofMaxSize(5))
                .as((number, lives) -> new View(number, lives.stream().map(each -> new Life("n" + each, each)).toList()));
    }
}
