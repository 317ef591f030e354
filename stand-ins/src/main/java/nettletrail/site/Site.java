package nettletrail.site;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A stand-in site: backends, the discovery agent that lists them, and what was noted of all. */
public final class Site implements AutoCloseable {
    private static final long METER_LATE_NS = 300_000_000L;

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final SiteSettings settings;
    private final Events events = new Events();
    private final List<SiteBackend> backends = new ArrayList<>();
    private final StandInAgent agent;
    private final Meter meter = new Meter(METER_LATE_NS);
    private final long seed;
    private final SiteBackend.Machine machine;
    private final int zones;
    private int crowds;

    public Site(SiteSettings settings, int count, SiteBackend.Machine machine, long seed) {
        this(settings, count, 1, machine, seed);
    }

    /** With so many zones, up to three, and the backends by turns in each. */
    public Site(SiteSettings settings, int count, int zones, SiteBackend.Machine machine, long seed) {
        this.settings = settings;
        this.machine = machine;
        this.seed = seed;
        this.zones = zones;
        agent = new StandInAgent(group);
        for (int i = 0; i < count; i++) {
            add();
        }
    }

    /** One backend more, warm, in the zone whose turn it is. */
    public SiteBackend add() {
        int number = backends.size();
        SiteBackend made = new SiteBackend("s-" + number, group, settings, machine, events, meter, seed + number);
        backends.add(made);
        agent.set(made.name(), made.address(), zone(made), "SERVING", 0);
        return made;
    }

    /** The name of its zone. */
    public String zone(SiteBackend backend) {
        return String.valueOf((char) ('a' + backends.indexOf(backend) % zones));
    }

    public SiteSettings settings() {
        return settings;
    }

    public List<SiteBackend> backends() {
        return List.copyOf(backends);
    }

    public StandInAgent agent() {
        return agent;
    }

    public Events events() {
        return events;
    }

    public NioEventLoopGroup group() {
        return group;
    }

    /** Clients of front doors that listen there; no two of them give the same ids. */
    public SiteClients clients(List<InetSocketAddress> doors) {
        return new SiteClients(group, settings, doors, events, seed * 31 + 7).idsFrom((long) ++crowds << 40);
    }

    /** A front door's configuration file. */
    public String config(String name) {
        return "{\"name\":\"" + name + "\",\"discovery\":\"127.0.0.1:" + agent.address().getPort() + "\",\"seed\":\""
                + Long.toHexString(seed * 17 + name.hashCode()) + "\",\"limits\":{\"cores\":1,\"memory_mb\":192,"
                + "\"sockets\":1024},\"known\":" + agent.list(-1) + ",\"settings\":" + settings.json(number(name)) + "}";
    }

    /** Of a door's name, n0 and on; below 0 for another. */
    private static int number(String name) {
        return name.matches("n\\d{1,4}") ? Integer.parseInt(name.substring(1)) : -1;
    }

    /** Drained by the operators: told first, and the backend takes nothing new once the grace is over. */
    public void drain(SiteBackend backend) {
        tell(backend, "DRAINING", 0);
        group.schedule(backend::drain, settings.drainGraceMs(), TimeUnit.MILLISECONDS);
    }

    /** Dies unannounced. */
    public void crash(SiteBackend backend) {
        backend.crash();
    }

    /** Is there again, cold, and listed so. */
    public void restart(SiteBackend backend) {
        backend.start();
        tell(backend, "SERVING", System.currentTimeMillis());
    }

    /** All of them are there again, cold, and listed so by one change of the list. */
    public void restartTogether(List<SiteBackend> restarted) {
        restarted.forEach(SiteBackend::start);
        tell(restarted, "SERVING", System.currentTimeMillis());
    }

    /** Is listed no more. */
    public void delist(SiteBackend backend) {
        tell(backend, "DELETED", 0);
    }

    /** None of them is listed any more, by one change of the list. */
    public void delistTogether(List<SiteBackend> delisted) {
        tell(delisted, "DELETED", 0);
    }

    private void tell(SiteBackend backend, String status, long sinceMs) {
        tell(List.of(backend), status, sinceMs);
    }

    private void tell(List<SiteBackend> changed, String status, long sinceMs) {
        agent.setAll(changed.stream()
                .map(backend -> new StandInAgent.Listing(backend.name(), backend.address(), zone(backend), status, sinceMs))
                .toList());
        changed.forEach(backend -> events.add(new Events.Told(backend.name(), status, System.nanoTime())));
    }

    /** All breaks of the rules in what was noted so far. */
    public List<Auditor.Break> audit() {
        return Auditor.audit(settings, events.all());
    }

    @Override
    public void close() {
        backends.forEach(SiteBackend::close);
        agent.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
