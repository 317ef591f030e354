package nettletrail.emulator.simulation;

import java.util.SplittableRandom;

/** Virtual time, network, log and randomness of one run. The same seed gives the same run. */
public final class Simulation {
  private static final long MAX_CLOCK_ORIGIN = 100_000 * VirtualTime.SECOND;

  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final double maxDriftPpm;
  private final Network network;
  private final RunLog log = new RunLog(time);

  /**
   * @param seed of all random numbers of the run
   * @param maxDriftPpm the maximum drift of steady clocks, in parts per million
   */
  public Simulation(long seed, NetworkSettings settings, double maxDriftPpm) {
    this.maxDriftPpm = maxDriftPpm;
    this.random = new SplittableRandom(seed);
    this.network = new Network(time, random.split(), settings);
  }

  /** The scheduler. */
  public VirtualTime time() {
    return time;
  }

  /** The network. */
  public Network network() {
    return network;
  }

  /** The log of the run. */
  public RunLog log() {
    return log;
  }

  /** A new random number generator, split off the one of the seed. */
  public SplittableRandom newRandom() {
    return random.split();
  }

  /** Adds a machine to the network, with an empty disk or without one; it has no process yet. */
  public SimulatedMachine addMachine(String name, String host, boolean withDisk) {
    SplittableRandom machineRandom = random.split();
    long origin = machineRandom.nextLong(MAX_CLOCK_ORIGIN);
    double drift = (machineRandom.nextDouble() * 2 - 1) * maxDriftPpm;
    MachineClock clock = new MachineClock(time, origin, drift);
    SimulatedDisk disk = withDisk ? new SimulatedDisk(time, machineRandom.split()) : null;
    SimulatedMachine machine = new SimulatedMachine(name, host, time, clock, disk);
    network.attach(machine);
    return machine;
  }
}
