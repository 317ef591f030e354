package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Runs a fleet as processes on loopback addresses under load, injects faults and checks the
 * system's guarantees. Blocks; all processes and threads that it started have ended when {@link
 * #run} returns. Used once.
 */
public final class Demonstration {
  private static final long RANDOM_SEED = 1;

  private final DemonstrationPlan plan;
  private final Path directory;
  private final ProgressLog progress;
  private final FleetProcesses fleet;
  private final StartupCondition condition;
  private final BackendRunLog runLog = new BackendRunLog();
  private final EmulatedBackends backends;
  private final DemonstrationOperator operator;

  /**
   * Prepares a demonstration.
   *
   * @param home the repository, which contains {@code deploy/}
   * @param directory for settings, disks and logs; created if it does not exist
   * @param listener receives one line for each event
   * @throws IOException if no free loopback addresses are found
   */
  public Demonstration(DemonstrationPlan plan, Path home, Path directory, Consumer<String> listener)
      throws IOException {
    // Otherwise the emulated backends would delay each event until the client has acknowledged the
    // one before it.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    this.plan = plan;
    this.directory = directory;
    this.progress = new ProgressLog(listener);
    LoopbackNetwork network = LoopbackNetwork.findFree();
    this.fleet = new FleetProcesses(home.toAbsolutePath(), directory.toAbsolutePath(), network);
    this.condition = new StartupCondition(fleet, progress);
    this.backends = new EmulatedBackends(network, fleet::controlAddresses, runLog);
    this.operator = new DemonstrationOperator(fleet);
  }

  /**
   * Runs the demonstration.
   *
   * @throws IOException if the fleet does not start or does not accept a configuration
   */
  public DemonstrationResult run() throws IOException, InterruptedException {
    try {
      List<EmulatedMachine> doors = startFleet();
      try (ReadyDoors readyDoors = new ReadyDoors(doors)) {
        condition.await("all doors are ready", () -> readyDoors.current().size() == doors.size());
        backends.start(plan.zoneCount());
        progress.report(backends.size() + " backends are registered; clients begin");
        return runLoad(doors, readyDoors);
      }
    } finally {
      fleet.killAll();
      backends.close();
    }
  }

  private List<EmulatedMachine> startFleet() throws IOException {
    Files.createDirectories(directory);
    fleet.startCore(plan.coreCount());
    List<EmulatedMachine> doors = fleet.startDoors(plan.zoneCount(), plan.doorsPerZone());
    progress.report(
        plan.coreCount() + " core processes and " + doors.size() + " doors are started");
    operator.putFirst();
    progress.report("configuration " + ConfigurationTemplate.FIRST_EDITION + " is taken");
    String cores = String.join(",", fleet.controlAddresses());
    progress.report("look at it from another terminal: ./nettletrail fleet shards --core " + cores);
    return doors;
  }

  private DemonstrationResult runLoad(List<EmulatedMachine> doors, ReadyDoors readyDoors)
      throws IOException, InterruptedException {
    LoadGenerator load = new LoadGenerator(readyDoors);
    SplittableRandom random = new SplittableRandom(RANDOM_SEED);
    FaultSchedule schedule =
        new FaultSchedule(plan, fleet, backends, operator, condition, progress);
    for (int zone = 0; zone < plan.zoneCount(); zone++) {
      load.start(DemonstrationPlan.zone(zone), plan.clientsPerZone(), random);
    }
    FaultSchedule.InjectedFaults faults = schedule.run(doors.get(0));
    load.stop();
    progress.report("clients have ended");
    List<InvariantResult> invariants = checkInvariants(load.results(), faults);
    return DemonstrationResult.of(load.results(), invariants, progress.startedAt());
  }

  /** Checks in an order that matters, since the last check of the fleet terminates it. */
  private List<InvariantResult> checkInvariants(
      List<AttemptResult> attempts, FaultSchedule.InjectedFaults faults)
      throws InterruptedException {
    FleetChecks fleetChecks = new FleetChecks(fleet, operator);
    InvariantResult readBack = fleetChecks.configurationIsReadBack();
    InvariantResult termination = fleetChecks.processesTerminateGracefully();
    InvariantChecks checks = new InvariantChecks(attempts, runLog);
    List<InvariantResult> results = new ArrayList<>(checks.all());
    results.add(faults.doorRestart());
    results.add(readBack);
    results.add(termination);
    results.add(checks.revokedKey(faults.keyRevokedAt()));
    results.add(checks.drainedBackend(faults.drainedBackend(), faults.drainedAt()));
    return results;
  }

  /** Deletes the directory of a demonstration with everything in it. */
  public static void deleteDirectory(Path directory) throws IOException {
    DirectoryTree.delete(directory);
  }
}
