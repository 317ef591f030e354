package nettletrail.emulator.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A simulated TCP network between machines. Messages of one connection arrive in order. Messages
 * that a partition holds up arrive after it has healed, unless the connection has ended by then. A
 * machine that loses power sends no reset.
 */
public final class Network {
  private static final int FIRST_SWEEP = 256;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final NetworkSettings settings;
  private final Map<String, SimulatedMachine> machines = new HashMap<>();
  private final Map<String, Listening> listening = new HashMap<>();
  private final Set<Path> partitions = new HashSet<>();
  private final Map<Path, Long> extraDelays = new LinkedHashMap<>();
  private List<Pipe> pipes = new ArrayList<>();
  private List<Connection> connections = new ArrayList<>();
  private int sweepAt = FIRST_SWEEP;

  /**
   * @param random draws delays, losses and duplicates
   */
  public Network(VirtualTime time, SplittableRandom random, NetworkSettings settings) {
    this.time = time;
    this.random = random;
    this.settings = settings;
  }

  /** Attaches a machine under its host number. */
  public void attach(SimulatedMachine machine) {
    machines.put(machine.host(), machine);
  }

  /**
   * Accepts connections at an address until the process ends.
   *
   * @param address {@code host:port}, the host being the machine's
   */
  public void listen(
      SimulatedMachine.Incarnation incarnation, String address, Consumer<Connection> acceptor) {
    listening.put(address, new Listening(incarnation, acceptor));
    incarnation.onEnd(
        end ->
            listening.computeIfPresent(
                address, (key, l) -> l.incarnation == incarnation ? null : l));
  }

  /**
   * Opens a connection. The result is passed on as a step of the process: the connection, or null
   * if it was refused or not established in time.
   *
   * @param timeout in nanoseconds
   */
  public void connect(
      SimulatedMachine.Incarnation from, String address, long timeout, Consumer<Connection> done) {
    Attempt attempt = new Attempt(from, done);
    from.after(timeout, () -> attempt.complete(null));
    SimulatedMachine target = machines.get(hostOf(address));
    if (target == null) {
      return;
    }
    Path there = new Path(from.machine(), target);
    time.after(delay(there), () -> arrive(attempt, there, address));
  }

  private void arrive(Attempt attempt, Path there, String address) {
    if (isPartitioned(there) || !there.to().isPowered()) {
      return;
    }
    Listening acceptor = listening.get(address);
    if (acceptor == null) {
      answer(attempt, there, null);
      return;
    }
    Connection near = new Connection(attempt.from);
    Connection far = new Connection(acceptor.incarnation);
    join(near, far, there);
    acceptor.incarnation.run(() -> acceptor.acceptor.accept(far));
    answer(attempt, there, near);
  }

  private void answer(Attempt attempt, Path there, Connection near) {
    Path back = there.reversed();
    time.after(
        delay(back),
        () -> {
          if (!isPartitioned(back)) {
            attempt.from.run(() -> attempt.complete(near));
          }
        });
  }

  private void join(Connection near, Connection far, Path there) {
    Pipe outward = new Pipe(time, random, settings, there, this, far);
    Pipe inward = new Pipe(time, random, settings, there.reversed(), this, near);
    Connection.join(near, far, outward, inward);
    pipes.add(outward);
    pipes.add(inward);
    register(near);
    register(far);
    sweep();
  }

  private void register(Connection connection) {
    connections.add(connection);
    connection.incarnation().onEnd(connection::abandon);
  }

  /** Drops connections that have ended, which bounds the memory of a long run. */
  private void sweep() {
    if (connections.size() < sweepAt) {
      return;
    }
    connections = new ArrayList<>(connections.stream().filter(Connection::isOpen).toList());
    pipes = new ArrayList<>(pipes.stream().filter(pipe -> !pipe.isDone()).toList());
    sweepAt = Math.max(FIRST_SWEEP, 2 * connections.size());
  }

  /** Lets nothing through from one machine to another; the other direction stays as it is. */
  public void partitionOneWay(SimulatedMachine from, SimulatedMachine to) {
    partitions.add(new Path(from, to));
  }

  /** Lets nothing through between two machines, in either direction. */
  public void partition(SimulatedMachine one, SimulatedMachine other) {
    partitionOneWay(one, other);
    partitionOneWay(other, one);
  }

  /** Ends all partitions; what they held up arrives. */
  public void healAllPartitions() {
    List<Path> healed = List.copyOf(partitions);
    partitions.clear();
    for (Pipe pipe : List.copyOf(pipes)) {
      if (healed.stream().anyMatch(pipe::isOn)) {
        pipe.resume();
      }
    }
  }

  /** True if a partition blocks a path. */
  boolean isPartitioned(Path path) {
    return partitions.contains(path);
  }

  /** True if a partition blocks the path from one machine to another. */
  public boolean isPartitioned(SimulatedMachine from, SimulatedMachine to) {
    return isPartitioned(new Path(from, to));
  }

  /** Adds to the delay from one machine to another, in nanoseconds; 0 ends it. */
  public void setExtraDelay(SimulatedMachine from, SimulatedMachine to, long extra) {
    extraDelays.put(new Path(from, to), extra);
  }

  /** Resets all connections of a machine. */
  public void resetConnections(SimulatedMachine machine) {
    for (Connection connection : List.copyOf(connections)) {
      if (connection.isOpen() && connection.incarnation().machine() == machine) {
        connection.reset();
      }
    }
  }

  long delay(Path path) {
    double extra = -Math.log(1 - random.nextDouble()) * settings.meanExtraDelay();
    return settings.minDelay() + (long) extra + extraDelays.getOrDefault(path, 0L);
  }

  private static String hostOf(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }

  private record Listening(
      SimulatedMachine.Incarnation incarnation, Consumer<Connection> acceptor) {}

  /** A connection that is being opened; completed once. */
  private static final class Attempt {
    private final SimulatedMachine.Incarnation from;
    private final Consumer<Connection> done;
    private boolean completed;

    Attempt(SimulatedMachine.Incarnation from, Consumer<Connection> done) {
      this.from = from;
      this.done = done;
    }

    /** Passes the connection, or null, to the caller; one that comes too late is closed. */
    void complete(Connection connection) {
      if (!completed) {
        completed = true;
        done.accept(connection);
      } else if (connection != null) {
        connection.close();
      }
    }
  }
}
