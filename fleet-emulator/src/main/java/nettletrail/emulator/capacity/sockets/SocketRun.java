package nettletrail.emulator.capacity.sockets;

import com.jsoniter.output.JsonStream;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.host.ConfigurationReader;
import nettletrail.control.host.QuotaLimits;
import nettletrail.emulator.capacity.ControlDemand;
import nettletrail.emulator.capacity.FleetNames;
import nettletrail.emulator.capacity.FleetPlan;
import nettletrail.emulator.capacity.Gauge;
import nettletrail.emulator.capacity.ProcessUse;
import nettletrail.emulator.capacity.RequestCounts;
import nettletrail.emulator.capacity.Rounded;
import nettletrail.emulator.capacity.SampleDocument;
import nettletrail.emulator.capacity.SimulatedRequests;

/**
 * One size over sockets: {@code DOORS SECONDS}. Prints one JSON object. Real: the core processes,
 * links, HTTP, disks. Simulated: doors, all in this process, and backends.
 */
public final class SocketRun {
  /** Second number of the loopback networks, one a process, so that runs do not meet. */
  private static final int FIRST_NETWORK = 100;

  private static final int NETWORKS = 100;
  private static final long SETTLE_MS = 3_000;
  private static final long START_DELAY_MS = 1_000;
  private static final int START_SPREAD_MS = 500;
  private static final long BETWEEN_CHANGES_MS = 1_000;
  private static final long AFTER_RESTART_MS = 4_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;
  private static final int LOOPS = 2;
  private static final double SECOND = 1e9;
  private static final int OK = 200;
  private static final long POLL_MS = 20;
  private static final long MAX_WAIT_MS = 20_000;
  private static final int CHANGES = 3;

  private final FleetPlan plan;
  private final int seconds;
  private final HttpCaller operator = new HttpCaller();
  private final Map<Long, Long> sentAt = new ConcurrentHashMap<>();
  private final Map<Long, Map<SocketDoor, Long>> inForceAt = new ConcurrentHashMap<>();
  private final Map<Long, Map<String, QuotaLimit>> limits = new ConcurrentHashMap<>();
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private final List<SocketDoor> doors = new ArrayList<>();
  private long edition;
  private int ordersNotTaken;

  private SocketRun(FleetPlan plan, int seconds) {
    this.plan = plan;
    this.seconds = seconds;
  }

  /** Runs and prints. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    FleetPlan plan = FleetPlan.TARGET.withDoors(Integer.parseInt(arguments[0]));
    SocketRun run = new SocketRun(plan, Integer.parseInt(arguments[1]));
    Path folder = Files.createTempDirectory("fleet-capacity");
    String network = "127." + (FIRST_NETWORK + ProcessHandle.current().pid() % NETWORKS) + ".0";
    EventLoopGroup group = new NioEventLoopGroup(LOOPS);
    try (CoreProcesses cores = new CoreProcesses(folder, network)) {
      run.run(cores, group);
    } finally {
      System.out.println(JsonStream.serialize(run.figures));
      group.shutdownGracefully();
      deleteTree(folder);
    }
    System.exit(0);
  }

  private static void deleteTree(Path folder) throws IOException {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private void run(CoreProcesses cores, EventLoopGroup group)
      throws IOException, InterruptedException {
    figures.put("real_core_processes", CoreProcesses.COUNT);
    figures.put("real_doors", 0);
    figures.put("hollow_doors", plan.doors());
    figures.put("backends", plan.backends());
    figures.put("tenants", plan.tenants());
    ControlDemand demand = new ControlDemand(plan.tenants(), plan.requestsPerSecond());
    List<RequestCounts> counts = startDoors(cores, group, demand);
    try (SocketBackends backends = new SocketBackends(cores, plan.backends())) {
      put("first_configuration_s", first(cores, demand));
      Thread.sleep(SETTLE_MS);
      steady(cores, group, counts);
      changes(cores);
      put("core_peak_mb", cores.peakMb());
      figures.put("orders_not_taken", ordersNotTaken);
      figures.put("core_out_of_buffers", cores.outOfBuffers());
      if (ordersNotTaken == 0) {
        ownerKilled(cores);
      }
      figures.put("cores_alive", alive(cores));
      figures.put("backend_calls_failed", backends.failed());
    }
    put("this_process_peak_mb", ProcessUse.peakMb(ProcessHandle.current().pid()));
  }

  private List<RequestCounts> startDoors(
      CoreProcesses cores, EventLoopGroup group, ControlDemand demand) {
    SplittableRandom random = new SplittableRandom(1);
    List<RequestCounts> counts = new ArrayList<>();
    Map<EventLoop, RequestCounts> ofLoop = new HashMap<>();
    for (int i = 0; i < plan.doors(); i++) {
      EventLoop loop = group.next();
      RequestCounts loopCounts = ofLoop.computeIfAbsent(loop, unseen -> new RequestCounts());
      SimulatedRequests requests =
          new SimulatedRequests(
              demand, plan.requestsPerSecond() / plan.doors(), random.split(), loopCounts);
      SocketDoor door =
          new SocketDoor(
              loop, FleetNames.door(i), i + 1L, cores.linkAddresses(), requests, this::inForce);
      doors.add(door);
      door.start(START_DELAY_MS + random.nextInt(START_SPREAD_MS));
    }
    counts.addAll(ofLoop.values());
    return counts;
  }

  /** Compiles each configuration once; the doors of this process share the outcome. */
  private void inForce(SocketDoor door, long ofEdition, ByteBuffer document) {
    Map<String, QuotaLimit> compiled =
        limits.computeIfAbsent(ofEdition, unseen -> compile(document));
    door.control().grants().limitsChanged(compiled);
    inForceAt
        .computeIfAbsent(ofEdition, unseen -> new ConcurrentHashMap<>())
        .putIfAbsent(door, System.nanoTime());
  }

  private static Map<String, QuotaLimit> compile(ByteBuffer document) {
    try {
      return Map.copyOf(QuotaLimits.of(new ConfigurationReader().compile(document).tenants()));
    } catch (ConfigurationException invalid) {
      throw new IllegalStateException("an invalid configuration was delivered", invalid);
    }
  }

  private double first(CoreProcesses cores, ControlDemand demand) throws InterruptedException {
    byte[] complete = SampleDocument.complete(1, plan.tenants(), demand::limit);
    return order(cores, "PUT", complete);
  }

  /**
   * Sends a configuration change until it is accepted and waits until all doors use it, for {@link
   * #MAX_WAIT_MS} at most.
   *
   * @return seconds since the change was sent first
   */
  private double order(CoreProcesses cores, String method, byte[] body)
      throws InterruptedException {
    long began = System.nanoTime();
    sentAt.put(edition + 1, began);
    boolean accepted = false;
    for (int i = 0; !accepted && waitedMs(began) < MAX_WAIT_MS; i++) {
      String url = cores.control(i % CoreProcesses.COUNT) + "/nettletrail/config";
      accepted = operator.call(method, url, Long.toString(edition), body) == OK;
      Thread.sleep(POLL_MS);
    }
    if (!accepted) {
      ordersNotTaken++;
      return waitedMs(began) / MILLIS_PER_SECOND;
    }
    edition++;
    while (missing(edition) > 0 && waitedMs(began) < MAX_WAIT_MS) {
      Thread.sleep(POLL_MS);
    }
    return waitedMs(began) / MILLIS_PER_SECOND;
  }

  private static double waitedMs(long since) {
    return (System.nanoTime() - since) / NANOS_PER_MILLI;
  }

  private int missing(long ofEdition) {
    return plan.doors() - inForceAt.getOrDefault(ofEdition, Map.of()).size();
  }

  private void steady(CoreProcesses cores, EventLoopGroup group, List<RequestCounts> counts)
      throws IOException, InterruptedException {
    double[] coresBefore = cores.cpuSeconds();
    long loopsBefore = loopsCpuNs(group);
    long letInBefore = letIn(counts);
    long refusedBefore = refused(counts);
    long began = System.nanoTime();
    Thread.sleep(seconds * MILLIS_PER_SECOND);
    double lasted = (System.nanoTime() - began) / SECOND;
    double[] coresAfter = cores.cpuSeconds();
    double busiest = 0;
    for (int i = 0; i < coresAfter.length; i++) {
      busiest = Math.max(busiest, coresAfter[i] - coresBefore[i]);
    }
    put("core_cpu_pct", PERCENT * busiest / lasted);
    put(
        "control_cpu_mean_pct",
        PERCENT * (loopsCpuNs(group) - loopsBefore) / SECOND / lasted / plan.doors());
    put("grants_per_s", (letIn(counts) - letInBefore) / lasted);
    put("refused_per_s", (refused(counts) - refusedBefore) / lasted);
    figures.put("core_out_of_buffers_first", cores.outOfBuffers());
    put("core_resident_mb", cores.peakMb());
  }

  private static long letIn(List<RequestCounts> counts) {
    return counts.stream().mapToLong(each -> each.snapshot().letIn()).sum();
  }

  private static long refused(List<RequestCounts> counts) {
    return counts.stream().mapToLong(each -> each.snapshot().refused()).sum();
  }

  /** Processor time of the doors' loops, asked on each of them. */
  private static long loopsCpuNs(EventLoopGroup group) throws InterruptedException {
    long sum = 0;
    for (var loop : group) {
      sum += loop.submit(Gauge::cpuNs).sync().getNow();
    }
    return sum;
  }

  private void changes(CoreProcesses cores) throws InterruptedException {
    long first = edition + 1;
    for (int i = 0; i < CHANGES && ordersNotTaken == 0; i++) {
      order(cores, "PATCH", SampleDocument.change(edition + 1, i));
      Thread.sleep(BETWEEN_CHANGES_MS);
    }
    List<Double> took = new ArrayList<>();
    int missing = 0;
    for (long changed = first; changed <= edition; changed++) {
      long sent = sentAt.get(changed);
      inForceAt
          .getOrDefault(changed, Map.of())
          .values()
          .forEach(at -> took.add((at - sent) / SECOND));
      missing += missing(changed);
    }
    double[] sorted = took.stream().mapToDouble(Double::doubleValue).toArray();
    put("in_force_p99_s", Gauge.quantile(sorted, Gauge.P99));
    put("in_force_max_s", Gauge.quantile(sorted, 1));
    figures.put("changes_missing_at_doors", missing);
    figures.put("cores_alive_after_changes", alive(cores));
  }

  /** Ends one core process after the other; of three, one is the configuration's owner. */
  private void ownerKilled(CoreProcesses cores) throws IOException, InterruptedException {
    double longest = 0;
    for (int i = 0; i < CoreProcesses.COUNT; i++) {
      cores.kill(i);
      longest = Math.max(longest, order(cores, "PATCH", SampleDocument.change(edition + 1, i)));
      cores.start(i, false);
      Thread.sleep(AFTER_RESTART_MS);
    }
    put("in_force_owner_killed_max_s", longest);
  }

  private static int alive(CoreProcesses cores) {
    int alive = 0;
    for (int i = 0; i < CoreProcesses.COUNT; i++) {
      alive += cores.isAlive(i) ? 1 : 0;
    }
    return alive;
  }

  private void put(String name, double figure) {
    figures.put(name, Rounded.of(figure));
  }
}
