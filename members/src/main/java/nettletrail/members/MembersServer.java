package nettletrail.members;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.core.DoorCalls;
import nettletrail.core.Endpoint;
import nettletrail.core.Log;
import nettletrail.core.Membership;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;
import nettletrail.members.Message.Datagram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The decider on sockets: datagrams in and out, a clock, the key file, and whoever wants to hear. It runs on a loop of its
 * own, so that a flood on its port costs no request its time; what listeners hear is told on the front door's loop. A front
 * door whose own loop stands still is silent here too: what can't serve is no member.
 */
public final class MembersServer implements Membership, MembersDecider.Actions {
    private static final Logger EVENTS = LoggerFactory.getLogger("nettletrail.events");
    private static final long MS = 1_000_000L;
    private static final int MOST_DATAGRAM = 1_472;
    private static final int RECEIVE_BUFFER = 1 << 20;
    private static final int BIND_TRIES = 32;
    private static final long KEYS_EVERY_MS = 1_000;
    private static final long SYNC_NS = 2_000 * MS;
    /** Lives are told apart by ms of their start and, below, chance: a restart within one ms is another life too. */
    private static final int LIFE_SHIFT = 12;
    private static final long LEAVE_MS = 100;
    /** Between two asks for a view that others know. */
    private static final long BEHIND_NS = 100 * MS;
    private static final String AGREE = "view";
    private static final long AGREE_NS = 1_000 * MS;
    private static final String SYNC = "sync";

    private final MembersSettings settings;
    private final EventLoop doors;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("members", true));
    private final EventLoop loop = group.next();
    private final KeyRing keys;
    private final Sealer sealer;
    private final DoorLinks links;
    private final MembersDecider decider;
    private final ViewDecider views;
    private final String address;
    private final Channel datagrams;
    private final Map<Dropped, Long> dropped = new EnumMap<>(Dropped.class);
    private final List<Listener> listeners = new ArrayList<>();
    private volatile MemberIncarnation self;
    private FileTime keysFrom;
    private long beatAt;
    private long askedAt;
    private volatile long beaten;
    private double sendCredit;
    private long creditAt;
    private long sentBytes;
    private long sentDatagrams;
    private long startedAt;

    private MembersServer(MembersSettings settings, String name, EventLoop doors, int fleet) {
        this.settings = settings;
        this.doors = doors;
        keys = new KeyRing(TimeUnit.SECONDS.toNanos(settings.newKeyAfterS()), TimeUnit.SECONDS.toNanos(settings.oldKeyS()));
        try {
            keysFrom = Files.getLastModifiedTime(Path.of(settings.keyFile()));
            keys.holds(KeyRing.read(settings.keyFile()), System.nanoTime());
        } catch (IOException e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new IllegalArgumentException("members.key_file: " + e.getMessage(), e);
        }
        startedAt = System.nanoTime();
        creditAt = startedAt;
        beatAt = startedAt;
        beaten = startedAt;
        sealer = new Sealer(keys, 2 * settings.terms().mostMembers());
        SecureRandom random = new SecureRandom();
        self = new MemberIncarnation(name, System.currentTimeMillis() << LIFE_SHIFT | random.nextInt(1 << LIFE_SHIFT));
        links = new DoorLinks(loop, sealer, () -> self, this::address, this::dropped);
        datagrams = bind();
        InetSocketAddress bound = (InetSocketAddress) datagrams.localAddress();
        address = text(settings.advertise() != null ? settings.advertise() : bound);
        decider = new MembersDecider(settings.terms(), self, address, settings.seeds(), random.nextLong(), startedAt, this);
        views = new ViewDecider(self, fleet, new Seen(decider, settings.terms()), random.nextLong(), new Views());
        links.serve(SYNC, this::synced);
        links.serve(AGREE, this::agrees);
        Log.line("members: " + self + " listens on " + text(bound) + ", of " + fleet + " front doors");
        event("members.start", self, "").addKeyValue("listen", text(bound)).log();
        loop.execute(() -> datagrams.config().setAutoRead(true));
        loop.scheduleWithFixedDelay(this::tick, 0, settings.terms().tickNs(), TimeUnit.NANOSECONDS);
        loop.scheduleWithFixedDelay(this::readKeys, KEYS_EVERY_MS, KEYS_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    /** What the operator file turns on. */
    public static Membership.Factory maker(MembersSettings settings) {
        return (String name, EventLoop loop, GatewaySettingsReader reader, Gateway.Settings told) ->
                new MembersServer(settings, name, loop, settings.doors() > 0 ? settings.doors() : told.gatewayCount());
    }

    /** UDP and TCP on one port; with port 0 one that is free for both. */
    private Channel bind() {
        String why = "";
        int tries = settings.listen().getPort() == 0 ? BIND_TRIES : 1;
        for (int i = 0; i < tries; i++) {
            ChannelFuture udp = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                    .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER).option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(2 * MOST_DATAGRAM))
                    .handler(new Reader()).bind(settings.listen()).awaitUninterruptibly();
            if (udp.isSuccess()) {
                ChannelFuture tcp = links.listen((InetSocketAddress) udp.channel().localAddress()).awaitUninterruptibly();
                if (tcp.isSuccess()) {
                    return udp.channel();
                }
                why = tcp.cause().getMessage();
                udp.channel().close().awaitUninterruptibly();
            } else {
                why = udp.cause().getMessage();
            }
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        throw new IllegalArgumentException("members.listen: can't listen on " + text(settings.listen()) + " over UDP and TCP: "
                + why + "; name an address of this machine that is free");
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private String address() {
        return address;
    }

    /** By which a door is reached from here: a seed's own address counts over what the door says. */
    private String way(String name, String told) {
        return settings.seeds().getOrDefault(name, told);
    }

    // ---- On its own loop -----------------------------------------------------------------------------------

    private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext on, DatagramPacket packet) {
            byte[] sealed = new byte[Math.min(packet.content().readableBytes(), MOST_DATAGRAM + 1)];
            packet.content().readBytes(sealed);
            try {
                if (sealed.length > MOST_DATAGRAM) {
                    throw new Refused(Dropped.OVERLONG);
                }
                Codec.Told told = Codec.datagram(sealer.open(sealed, System.nanoTime()));
                Datagram datagram = told.datagram();
                if (datagram.toLife() != self.number()) {
                    throw new Refused(Dropped.OTHER_LIFE);
                }
                if (!stands()) {
                    decider.received(System.nanoTime(), datagram);
                    behind(datagram.from(), told.view());
                }
            } catch (Refused e) {
                dropped(e.why());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable fault) {
            Log.line("members: a datagram", fault);
        }
    }

    /** Whether the front door's own loop has stood still for as long as a suspect may. */
    private boolean stands() {
        return beaten < beatAt && System.nanoTime() - beatAt > settings.terms().suspicionNs(1);
    }

    private void tick() {
        long now = System.nanoTime();
        if (beaten >= beatAt) {
            beatAt = now;
            doors.execute(() -> beaten = System.nanoTime());
        } else if (now - beatAt > 3 * settings.terms().tickNs()) {
            decider.late();
        }
        if (!stands()) {
            decider.tick(now);
            views.tick(now);
        }
    }

    /** Another knows of a later view: it is asked for all that it knows. */
    private void behind(MemberIncarnation who, long view) {
        long now = System.nanoTime();
        Statement told = decider.of(who.name());
        if (view > views.view().number() && told != null && now - askedAt > BEHIND_NS) {
            askedAt = now;
            sync(who.name(), told.address());
        }
    }

    private void dropped(Dropped why) {
        if (dropped.merge(why, 1L, Long::sum) == 1) {
            Log.line("members: dropped what came as " + why.name().toLowerCase(java.util.Locale.ROOT)
                    + "; further ones are counted only");
            event("members.dropped", self, "").addKeyValue("why", why.name()).log();
        }
    }

    private void readKeys() {
        long now = System.nanoTime();
        try {
            FileTime changed = Files.getLastModifiedTime(Path.of(settings.keyFile()));
            if (!changed.equals(keysFrom)) {
                keysFrom = changed;
                keys.holds(KeyRing.read(settings.keyFile()), now);
                Log.line("members: " + settings.keyFile() + " read again: " + keys.size() + " keys open");
                event("members.keys", self, "").addKeyValue("open", keys.size()).log();
            }
        } catch (IOException e) {
            Log.line("members: key_file: " + e.getMessage() + "; the keys known so far stay");
        }
    }

    @Override
    public void send(String name, String to, Datagram datagram) {
        long now = System.nanoTime();
        sendCredit = Math.min(settings.mostKbPerS() * 1_024.0, sendCredit
                + settings.mostKbPerS() * 1_024.0 * (now - creditAt) / 1e9);
        creditAt = now;
        byte[] sealed = sealer.seal(Codec.bytes(datagram, views.view().number()), Sealer.DATAGRAM, now);
        InetSocketAddress where = Endpoint.parseAddress(way(name, to));
        if (where == null || sealed.length > MOST_DATAGRAM || sendCredit < sealed.length) {
            dropped(Dropped.OVER_RATE);
            return;
        }
        sendCredit -= sealed.length;
        sentBytes += sealed.length;
        sentDatagrams++;
        datagrams.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(sealed), where), datagrams.voidPromise());
    }

    @Override
    public void sync(String name, String to) {
        links.call(way(name, to), null, SYNC, known(), SYNC_NS, new DoorCalls.ResponseCallback() {
            @Override
            public void completed(byte[] body) {
                try {
                    Codec.Known its = Codec.known(body);
                    decider.synced(System.nanoTime(), its.statements(), its.rows());
                    views.learn(its.view());
                } catch (Refused e) {
                    dropped(e.why());
                }
            }

            @Override
            public void failed() { }
        });
    }

    private byte[] known() {
        return Codec.bytes(new Codec.Known(decider.statements(), decider.rows(), views.view()));
    }

    private void synced(MemberIncarnation from, byte[] body, Consumer<byte[]> answer) {
        try {
            Codec.Known its = Codec.known(body);
            answer.accept(known());
            decider.synced(System.nanoTime(), its.statements(), its.rows());
            views.learn(its.view());
        } catch (Refused e) {
            dropped(e.why());
        }
    }

    private void agrees(MemberIncarnation from, byte[] body, Consumer<byte[]> answer) {
        try {
            Agree said = views.heard(from, Codec.agree(body));
            if (said != null) {
                answer.accept(Codec.bytes(said));
            }
        } catch (Refused e) {
            dropped(e.why());
        }
    }

    /** What the agreement on views asks for. */
    private final class Views implements ViewDecider.Actions {
        @Override
        public void say(MemberIncarnation to, Agree what) {
            Statement told = decider.of(to.name());
            if (told == null || !told.who().equals(to)) {
                return;
            }
            links.call(way(to.name(), told.address()), to, AGREE, Codec.bytes(what), AGREE_NS,
                    new DoorCalls.ResponseCallback() {
                @Override
                public void completed(byte[] body) {
                    try {
                        views.answered(to, Codec.agree(body), System.nanoTime());
                    } catch (Refused e) {
                        dropped(e.why());
                    }
                }

                @Override
                public void failed() { }
            });
        }

        @Override
        public void decided(View view, List<MemberIncarnation> gone, boolean in) {
            decider.keep(view.incarnations().stream().map(MemberIncarnation::name).toList());
            event("members.view", self, "").addKeyValue("number", view.number())
                    .addKeyValue("lives", view.incarnations())
                    .addKeyValue("in", in).log();
            gone.forEach(each -> event("members.surely_gone", each, "").addKeyValue("view", view.number()).log());
            doors.execute(() -> listeners.forEach(each -> {
                if (in) {
                    gone.forEach(each::removedByMajority);
                }
                each.viewChanged(in ? view : View.NONE);
            }));
        }

        @Override
        public void expelled() {
            event("members.expelled", self, "").log();
            Log.line("members: a majority has agreed to do without " + self + "; it comes back in a new life");
            decider.renew(0, System.nanoTime());
        }

        @Override
        public void contradiction(View one, View other) {
            event("members.contradiction", self, "").addKeyValue("one", one).addKeyValue("other", other).log();
            Log.line("members: two views of one number: " + one + " and " + other + ". Is there a name twice, or are there"
                    + " more front doors than [members] doors says?");
        }
    }

    // ---- What it tells -------------------------------------------------------------------------------------

    private static LoggingEventBuilder event(String kind, MemberIncarnation who, String by) {
        LoggingEventBuilder event = EVENTS.atInfo().setMessage(kind).addKeyValue("who", who.name())
                .addKeyValue("life", who.number());
        return by.isEmpty() ? event : event.addKeyValue("by", by);
    }

    @Override
    public void told(Change change) {
        if (change.kind() == Change.Kind.RENEWED) {
            self = change.who();
            views.renewed(self);
        }
        LoggingEventBuilder event = event("members." + change.kind().name().toLowerCase(java.util.Locale.ROOT), change.who(),
                change.by());
        (change.ms() > 0 ? event.addKeyValue("ms", change.ms()) : event).log();
        if (change.kind() == Change.Kind.SUPERSEDED) {
            Log.line("members: there is another door with the name " + self.name() + " and a newer life, " + change.who()
                    + "; this one is no member any more. Give each door a name of its own");
        }
        doors.execute(() -> listeners.forEach(each -> tell(each, change)));
    }

    private static void tell(Listener to, Change change) {
        MemberIncarnation who = change.who();
        switch (change.kind()) {
            case JOINED -> to.joined(who);
            case SUSPECT -> to.suspected(who);
            case GONE, REPLACED -> to.presumedFailed(who);
            case BACK -> to.recovered(who);
            case LEFT -> to.left(who);
            case CUT, HEALED, ACCUSED, PAUSED, DOUBT, TRUST, RENEWED, SUPERSEDED -> { }
        }
    }

    @Override
    public MemberIncarnation self() {
        return self;
    }

    @Override
    public void addListener(Listener listener) {
        listeners.add(listener);
        loop.execute(() -> {
            for (Statement each : decider.statements()) {
                if (!each.who().name().equals(self.name())) {
                    MemberIncarnation who = each.who();
                    doors.execute(() -> {
                        listener.joined(who);
                        switch (each.state()) {
                            case ALIVE -> { }
                            case SUSPECT -> listener.suspected(who);
                            case GONE -> listener.presumedFailed(who);
                            case LEFT -> listener.left(who);
                        }
                    });
                }
            }
        });
    }

    @Override
    public void status(Consumer<Object> to) {
        loop.execute(() -> {
            Object status = status();
            doors.execute(() -> to.accept(status));
        });
    }

    private Map<String, Object> status() {
        long now = System.nanoTime();
        List<Object> members = new ArrayList<>();
        for (Statement each : decider.statements()) {
            Map<String, Object> member = new LinkedHashMap<>();
            boolean mine = each.who().equals(self);
            member.put("name", each.who().name());
            member.put("life", Long.toHexString(each.who().number()));
            member.put("state", each.state().name().toLowerCase(java.util.Locale.ROOT));
            member.put("since_s", (mine ? now - startedAt : decider.sinceNs(each.who().name(), now)) / 1_000_000 / 1e3);
            member.put("by", each.by());
            member.put("cut", each.cut());
            member.put("incarnation", each.incarnation());
            member.put("address", each.address());
            member.put("self", mine);
            members.add(member);
        }
        List<Object> broken = new ArrayList<>();
        for (Row row : decider.rows()) {
            for (Row.Link link : row.links()) {
                if (link.out()) {
                    broken.add(Map.of("from", row.observer().name(), "to", link.name(), "by", row.observer().name()));
                }
                if (link.in()) {
                    broken.add(Map.of("from", link.name(), "to", row.observer().name(), "by", row.observer().name()));
                }
            }
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("self", self.name());
        all.put("life", Long.toHexString(self.number()));
        all.put("cut", decider.cut());
        all.put("superseded", decider.superseded());
        all.put("health", decider.health());
        all.put("view", views.view().number());
        all.put("in_view", views.in());
        all.put("view_lives", views.view().incarnations().stream().map(MemberIncarnation::toString).toList());
        all.put("members", members);
        all.put("broken_links", broken);
        all.put("sent_bytes", sentBytes);
        all.put("sent_datagrams", sentDatagrams);
        all.put("sent_bytes_per_s", Math.round(sentBytes / Math.max(1e-3, (now - startedAt) / 1e9)));
        Map<String, Object> drops = new LinkedHashMap<>();
        dropped.forEach((why, count) -> drops.put(why.name().toLowerCase(java.util.Locale.ROOT), count));
        all.put("dropped", drops);
        all.put("too_many", decider.dropped());
        return all;
    }

    @Override
    public void leave() {
        // Whoever calls this ends soon: the datagrams shall be out before.
        loop.submit(() -> decider.leave(System.nanoTime())).awaitUninterruptibly(LEAVE_MS);
    }

    @Override
    public void close() {
        loop.execute(() -> {
            links.close();
            datagrams.close();
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
