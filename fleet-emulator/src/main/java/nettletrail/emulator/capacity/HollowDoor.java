package nettletrail.emulator.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.emulator.world.VirtualTime;
import org.apache.avro.specific.SpecificRecord;

/** A door's real control plane with its share of requests, which take quota and do nothing else. */
final class HollowDoor implements MeasuredNetwork.Endpoint {
  /** A request that got no quota for so long is refused. */
  private static final long LONGEST_WAIT = 1_700 * VirtualTime.MILLISECOND;

  private static final long TICK = 50 * VirtualTime.MILLISECOND;
  private static final long REVOKE_MS = 5_000;

  private final VirtualTime time;
  private final MeasuredNetwork network;
  private final MeasuredProcess process;
  private final String name;
  private final String zone;
  private final List<String> seeds;
  private final Demand demand;
  private final double requestsPerSecond;
  private final SplittableRandom random;
  private final CompiledConfigurations configurations;
  private final RequestCounts counts;
  private final Set<String> dialled = new HashSet<>();
  private final Map<String, Deque<Waiting>> waiting = new HashMap<>();
  private DoorControl control;

  /** A request that waits for quota. */
  private record Waiting(long tokens, long since) {}

  HollowDoor(
      FleetParts parts,
      MeasuredProcess process,
      int number,
      double requestsPerSecond,
      SplittableRandom random) {
    this.time = parts.time();
    this.network = parts.network();
    this.configurations = parts.configurations();
    this.demand = parts.demand();
    this.counts = parts.counts();
    this.seeds = parts.seeds();
    this.process = process;
    this.name = process.name();
    this.zone = FleetNames.zone(number);
    this.requestsPerSecond = requestsPerSecond;
    this.random = random;
    network.add(name, this);
  }

  /** Starts a life of the process with nothing in memory. */
  void start() {
    process.start();
    waiting.clear();
    dialled.clear();
    long life = 1 + random.nextLong(Long.MAX_VALUE - 1);
    DoorControlSettings settings = new DoorControlSettings(name, zone, life, REVOKE_MS, seeds);
    control = new DoorControl(settings, time.now());
    process.submit(this::tick);
    nextRequest();
  }

  void kill() {
    process.end();
    network.ended(name);
  }

  /** Lets the door have served every tenant once, as after some days of service. */
  void age(int tenants) {
    for (int tenant = 0; tenant < tenants; tenant++) {
      control.grants().usable(FleetNames.tenant(tenant), time.now());
    }
  }

  /** Ends the process and lets go of its memory. */
  void release() {
    process.end();
    waiting.clear();
    control = null;
  }

  @Override
  public MeasuredProcess process() {
    return process;
  }

  private void tick() {
    perform(control.tick(time.now()));
    refuseOverdue();
    process.after(TICK, this::tick);
  }

  private void nextRequest() {
    process.after(Demand.gap(random, requestsPerSecond), this::request);
  }

  private void request() {
    nextRequest();
    if (control.configurationSequence() == 0) {
      return;
    }
    String tenant = FleetNames.tenant(demand.tenant(random));
    long tokens = Demand.tokens(random);
    counts.asked();
    if (!control.grants().take(tenant, tokens, time.now())) {
      waiting
          .computeIfAbsent(tenant, unseen -> new ArrayDeque<>())
          .add(new Waiting(tokens, time.now()));
      tellQueued(tenant);
      perform(control.poll(time.now()));
    } else {
      counts.letIn(0);
    }
  }

  private void retryGrown() {
    for (String tenant : control.grants().takeGrownTenants()) {
      Deque<Waiting> queue = waiting.get(tenant);
      while (queue != null && !queue.isEmpty()) {
        if (!control.grants().take(tenant, queue.peek().tokens(), time.now())) {
          break;
        }
        counts.letIn(time.now() - queue.poll().since());
      }
      settle(tenant, queue);
    }
  }

  private void refuseOverdue() {
    for (String tenant : List.copyOf(waiting.keySet())) {
      Deque<Waiting> queue = waiting.get(tenant);
      while (!queue.isEmpty() && time.now() - queue.peek().since() > LONGEST_WAIT) {
        queue.poll();
        counts.refused();
      }
      settle(tenant, queue);
    }
  }

  private void settle(String tenant, Deque<Waiting> queue) {
    if (queue != null) {
      tellQueued(tenant);
      if (queue.isEmpty()) {
        waiting.remove(tenant);
      }
    }
  }

  private void tellQueued(String tenant) {
    long tokens = waiting.get(tenant).stream().mapToLong(Waiting::tokens).sum();
    control.grants().queued(tenant, tokens, time.now());
  }

  private void perform(List<DoorAction> actions) {
    for (DoorAction action : actions) {
      if (action instanceof DoorAction.Dial dial) {
        dialled.add(dial.address());
      } else if (action instanceof DoorAction.Undial undial) {
        dialled.remove(undial.address());
      } else if (action instanceof DoorAction.SendToCore send) {
        network.send(name, send.address(), send.message());
      } else if (action instanceof DoorAction.ConfigurationChanged changed) {
        configurationChanged(changed);
      } else if (action instanceof DoorAction.BackendsChanged changed) {
        control.backends(changed.service());
      }
    }
    retryGrown();
  }

  private void configurationChanged(DoorAction.ConfigurationChanged changed) {
    CompiledConfigurations.Compiled compiled = configurations.of(changed);
    process.charge(compiled.cpuNs());
    control.grants().limits(compiled.limits());
    configurations.inForce(name, changed.edition(), time.now());
  }

  // Links

  @Override
  public void up(String peer, boolean peerIsDoor) {
    perform(control.linkUp(peer, time.now()));
  }

  @Override
  public void down(String peer, boolean peerIsDoor) {
    perform(control.linkDown(peer, time.now()));
  }

  @Override
  public void received(String peer, boolean peerIsDoor, SpecificRecord message) {
    perform(control.received(peer, message, time.now()));
  }

  @Override
  public boolean isDoor() {
    return true;
  }

  @Override
  public Set<String> dialled() {
    return dialled;
  }
}
