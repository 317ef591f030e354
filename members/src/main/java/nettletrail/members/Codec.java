package nettletrail.members;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import nettletrail.core.Endpoint;
import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.core.Membership.View;
import nettletrail.wire.MembersWire;

/**
 * The records of this package on the wire and back; what is against the rules is malformed, however authentic. The way out
 * is open to whoever counts bytes in virtual time. No state, any thread.
 */
public final class Codec {
    /** Bytes that sealing adds to each message. */
    public static final int SEAL_BYTES = Sealer.HEAD + Sealer.TAG;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final int MOST_ITEMS = 4_096;

    /** All that one knows. */
    public record Known(List<Statement> statements, List<Row> rows, View view) { }

    private Codec() { }

    // ---- Out -----------------------------------------------------------------------------------------------

    /** @param view number of the last view that the sender knows */
    public static byte[] bytes(Message.Datagram datagram, long view) {
        MembersWire.Datagram.Builder to = MembersWire.Datagram.newBuilder().setFrom(wire(datagram.from()))
                .setToLife(datagram.toLife()).setView(view);
        Message what = datagram.what();
        if (what instanceof Message.Ping ping) {
            to.setPing(MembersWire.Ping.newBuilder().setSequence(ping.sequence()).setAsker(ping.asker())
                    .setAskers(ping.askers()));
        } else if (what instanceof Message.Ack ack) {
            to.setAck(MembersWire.Ack.newBuilder().setSequence(ack.sequence()).setStraight(ack.straight()));
        } else if (what instanceof Message.PingRequest request) {
            to.setPingRequest(MembersWire.PingRequest.newBuilder().setSequence(request.sequence())
                    .setWhom(wire(request.whom())));
        } else if (what instanceof Message.Nack nack) {
            to.setNack(MembersWire.Nack.newBuilder().setSequence(nack.sequence()));
        } else if (what instanceof Message.Word) {
            to.setWord(MembersWire.Word.getDefaultInstance());
        }
        datagram.statements().forEach(each -> to.addStatements(wire(each)));
        datagram.rows().forEach(each -> to.addRows(wire(each)));
        return to.build().toByteArray();
    }

    /** An exchange of all that one knows, one way. */
    public static byte[] bytes(Known known) {
        MembersWire.Sync.Builder to = MembersWire.Sync.newBuilder().setView(wire(known.view()));
        known.statements().forEach(each -> to.addStatements(wire(each)));
        known.rows().forEach(each -> to.addRows(wire(each)));
        return to.build().toByteArray();
    }

    static MembersWire.Life wire(MemberIncarnation life) {
        return MembersWire.Life.newBuilder().setName(life.name()).setLife(life.number()).build();
    }

    static MembersWire.View wire(View view) {
        MembersWire.View.Builder to = MembersWire.View.newBuilder().setNumber(view.number());
        view.incarnations().forEach(each -> to.addLives(wire(each)));
        return to.build();
    }

    private static MembersWire.Statement wire(Statement told) {
        return MembersWire.Statement.newBuilder().setWho(wire(told.who())).setIncarnation(told.incarnation())
                .setStateValue(told.state().ordinal()).setAddress(told.address()).setCut(told.cut()).setBy(told.by())
                .build();
    }

    private static MembersWire.Row wire(Row row) {
        MembersWire.Row.Builder to = MembersWire.Row.newBuilder().setObserver(wire(row.observer()))
                .setVersion(row.version());
        row.links().forEach(each -> to.addLinks(MembersWire.Link.newBuilder().setName(each.name()).setOut(each.out())
                .setIn(each.in())));
        return to.build();
    }

    /** A word on the next view. */
    public static byte[] bytes(Agree what) {
        MembersWire.Agree.Builder to = MembersWire.Agree.newBuilder().setAfter(what.after());
        if (what instanceof Agree.Prepare prepare) {
            to.setBallot(wire(prepare.ballot())).setPrepare(MembersWire.Prepare.newBuilder().setLast(wire(prepare.last())));
        } else if (what instanceof Agree.Promise promise) {
            MembersWire.Promise.Builder made = MembersWire.Promise.newBuilder();
            if (promise.acceptedAt() != null) {
                made.setAcceptedAt(wire(promise.acceptedAt())).setAccepted(wire(promise.accepted()));
            }
            to.setBallot(wire(promise.ballot())).setPromise(made);
        } else if (what instanceof Agree.Accept accept) {
            to.setBallot(wire(accept.ballot())).setAccept(MembersWire.Accept.newBuilder().setLast(wire(accept.last()))
                    .setNext(wire(accept.next())).setBound(accept.bound()));
        } else if (what instanceof Agree.Accepted accepted) {
            to.setBallot(wire(accepted.ballot())).setAccepted(MembersWire.Accepted.getDefaultInstance());
        } else if (what instanceof Agree.Refusal refusal) {
            MembersWire.Refusal.Builder made = MembersWire.Refusal.newBuilder().setLast(wire(refusal.last()));
            if (refusal.promised() != null) {
                made.setPromised(wire(refusal.promised()));
            }
            if (refusal.well() != null) {
                made.setWell(wire(refusal.well()));
            }
            to.setBallot(wire(refusal.ballot())).setRefusal(made);
        } else if (what instanceof Agree.Decided decided) {
            to.setDecided(wire(decided.view()));
        }
        return to.build().toByteArray();
    }

    private static MembersWire.Ballot wire(Agree.Ballot ballot) {
        return MembersWire.Ballot.newBuilder().setRound(ballot.round()).setProposer(wire(ballot.proposer())).build();
    }

    // ---- In ------------------------------------------------------------------------------------------------

    /** A datagram, and the number of the last view that its sender knows. */
    record Told(Message.Datagram datagram, long view) { }

    static Told datagram(byte[] text) throws Refused {
        try {
            MembersWire.Datagram from = MembersWire.Datagram.parseFrom(text);
            Message what = switch (from.getWhatCase()) {
                case PING -> new Message.Ping(from.getPing().getSequence(), from.getPing().getAsker().isEmpty() ? ""
                        : name(from.getPing().getAsker()), from.getPing().getAskers());
                case ACK -> new Message.Ack(from.getAck().getSequence(), from.getAck().getStraight());
                case PING_REQUEST -> new Message.PingRequest(from.getPingRequest().getSequence(),
                        life(from.getPingRequest().getWhom()));
                case NACK -> new Message.Nack(from.getNack().getSequence());
                case WORD -> new Message.Word();
                case WHAT_NOT_SET -> throw new Refused(Dropped.MALFORMED);
            };
            return new Told(new Message.Datagram(life(from.getFrom()), from.getToLife(), what,
                    statements(from.getStatementsList()), rows(from.getRowsList())), from.getView());
        } catch (InvalidProtocolBufferException e) {
            throw new Refused(Dropped.MALFORMED);
        }
    }

    static Known known(byte[] text) throws Refused {
        try {
            MembersWire.Sync from = MembersWire.Sync.parseFrom(text);
            return new Known(statements(from.getStatementsList()), rows(from.getRowsList()), view(from.getView()));
        } catch (InvalidProtocolBufferException e) {
            throw new Refused(Dropped.MALFORMED);
        }
    }

    static Agree agree(byte[] text) throws Refused {
        try {
            MembersWire.Agree from = MembersWire.Agree.parseFrom(text);
            return switch (from.getWhatCase()) {
                case PREPARE -> new Agree.Prepare(ballot(from.getBallot()), view(from.getPrepare().getLast()));
                case PROMISE -> {
                    MembersWire.Promise promise = from.getPromise();
                    yield new Agree.Promise(from.getAfter(), ballot(from.getBallot()),
                            promise.hasAcceptedAt() ? ballot(promise.getAcceptedAt()) : null,
                            promise.hasAcceptedAt() ? view(promise.getAccepted()) : null);
                }
                case ACCEPT -> new Agree.Accept(ballot(from.getBallot()), view(from.getAccept().getLast()),
                        view(from.getAccept().getNext()), from.getAccept().getBound());
                case ACCEPTED -> new Agree.Accepted(from.getAfter(), ballot(from.getBallot()));
                case REFUSAL -> {
                    MembersWire.Refusal no = from.getRefusal();
                    yield new Agree.Refusal(from.getAfter(), ballot(from.getBallot()),
                            no.hasPromised() ? ballot(no.getPromised()) : null, no.hasWell() ? life(no.getWell()) : null,
                            view(no.getLast()));
                }
                case DECIDED -> new Agree.Decided(view(from.getDecided()));
                case WHAT_NOT_SET -> throw new Refused(Dropped.MALFORMED);
            };
        } catch (InvalidProtocolBufferException e) {
            throw new Refused(Dropped.MALFORMED);
        }
    }

    private static Agree.Ballot ballot(MembersWire.Ballot from) throws Refused {
        return new Agree.Ballot(from.getRound(), life(from.getProposer()));
    }

    static View view(MembersWire.View from) throws Refused {
        List<MemberIncarnation> lives = new ArrayList<>();
        for (MembersWire.Life each : bounded(from.getLivesList())) {
            lives.add(life(each));
        }
        return new View(from.getNumber(), lives);
    }

    static MemberIncarnation life(MembersWire.Life from) throws Refused {
        if (from.getLife() <= 0) {
            throw new Refused(Dropped.MALFORMED);
        }
        return new MemberIncarnation(name(from.getName()), from.getLife());
    }

    private static String name(String text) throws Refused {
        if (!NAME.matcher(text).matches()) {
            throw new Refused(Dropped.MALFORMED);
        }
        return text;
    }

    private static List<Statement> statements(List<MembersWire.Statement> from) throws Refused {
        List<Statement> all = new ArrayList<>();
        for (MembersWire.Statement each : bounded(from)) {
            int state = each.getStateValue();
            if (state < 0 || state >= Statement.State.values().length || each.getIncarnation() < 0
                    || Endpoint.parseAddress(each.getAddress()) == null) {
                throw new Refused(Dropped.MALFORMED);
            }
            all.add(new Statement(life(each.getWho()), each.getIncarnation(), Statement.State.values()[state],
                    each.getAddress(), each.getCut(), each.getBy().isEmpty() ? "" : name(each.getBy())));
        }
        return all;
    }

    private static List<Row> rows(List<MembersWire.Row> from) throws Refused {
        List<Row> all = new ArrayList<>();
        for (MembersWire.Row each : bounded(from)) {
            List<Row.Link> links = new ArrayList<>();
            if (each.getLinksCount() > Row.MOST_LINKS) {
                throw new Refused(Dropped.MALFORMED);
            }
            for (MembersWire.Link link : each.getLinksList()) {
                links.add(new Row.Link(name(link.getName()), link.getOut(), link.getIn()));
            }
            all.add(new Row(life(each.getObserver()), each.getVersion(), links));
        }
        return all;
    }

    private static <T> List<T> bounded(List<T> list) throws Refused {
        if (list.size() > MOST_ITEMS) {
            throw new Refused(Dropped.MALFORMED);
        }
        return list;
    }
}
