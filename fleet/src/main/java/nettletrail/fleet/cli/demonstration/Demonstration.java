package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs a fleet as processes on loopback under load and planned faults, and judges what came of it.
 * Blocks; everything it started has ended when {@link #run} returns.
 */
public final class Demonstration {
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long LOOK_EVERY_MS = 50;
  private static final double NANOS_A_SECOND = 1e9;
  private static final long SEED = 1;

  private static final double REVOKE_AT = 0.10;
  private static final double REPLACE_CORE_AT = 0.20;
  private static final double DRAIN_AT = 0.35;
  private static final double RESTART_DOOR_AT = 0.55;
  private static final double CRASH_AT = 0.70;
  private static final double LAST_EDITION_AT = 0.80;

  private final DemonstrationPlan plan;
  private final Path folder;
  private final Consumer<String> narrator;
  private final FleetProcesses fleet;
  private final RunLedger ledger = new RunLedger();
  private final EmulatedBackends backends;
  private final DemonstrationOperator operator;
  private final List<RuleResult> rules = new ArrayList<>();
  private final long startedAt = System.nanoTime();
  private long loadStartedAt;
  private List<Machine> doors = List.of();

  /**
   * Prepares a demonstration.
   *
   * @param home the repository, where {@code deploy/} lies
   * @param folder where settings, disks and logs are put
   * @param narrator told a line at each event
   */
  public Demonstration(DemonstrationPlan plan, Path home, Path folder, Consumer<String> narrator)
      throws IOException {
    // Without this the emulated backends would hold each event back until the one before it is
    // acknowledged.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    this.plan = plan;
    this.folder = folder;
    this.narrator = narrator;
    LoopbackNetwork network = LoopbackNetwork.findFree();
    this.fleet = new FleetProcesses(home.toAbsolutePath(), folder.toAbsolutePath(), network);
    this.backends = new EmulatedBackends(network, fleet::controlAddresses, ledger);
    this.operator = new DemonstrationOperator(fleet);
  }

  /** Runs it from the start to the end of all processes. */
  public DemonstrationResult run() throws IOException, InterruptedException {
    try {
      startFleet();
      try (DoorDirectory directory = new DoorDirectory(doors)) {
        await("all doors are ready", () -> directory.ready().size() == doors.size());
        backends.start(plan.zoneCount());
        say(backends.size() + " backends are registered; clients begin");
        return underLoad(directory);
      }
    } finally {
      fleet.killAll();
      backends.close();
    }
  }

  private void startFleet() throws IOException {
    Files.createDirectories(folder);
    fleet.startCore(plan.coreCount());
    doors = fleet.startDoors(plan.zoneCount(), plan.doorsInZone());
    say(plan.coreCount() + " core processes and " + doors.size() + " doors are started");
    operator.putFirst();
    say("configuration " + ConfigurationText.FIRST_EDITION + " is taken");
    String cores = String.join(",", fleet.controlAddresses());
    say("look at it from another terminal: ./nettletrail fleet shards --core " + cores);
  }

  private DemonstrationResult underLoad(DoorDirectory directory)
      throws IOException, InterruptedException {
    Clients clients = new Clients(directory);
    SplittableRandom random = new SplittableRandom(SEED);
    loadStartedAt = System.nanoTime();
    for (int zone = 0; zone < plan.zoneCount(); zone++) {
      clients.start(DemonstrationPlan.zone(zone), plan.clientsInZone(), random);
    }
    Faults faults = playFaults();
    sleepUntil(1);
    clients.stop();
    say("clients have ended");
    configurationReadBack();
    processesEnd();
    RuleChecks checks = new RuleChecks(clients.outcomes(), ledger);
    rules.addAll(0, checks.all());
    rules.add(checks.revokedKey(faults.keyRevokedAt()));
    rules.add(checks.drainedBackend(faults.drained(), faults.drainedAt()));
    return DemonstrationResult.of(clients.outcomes(), rules, startedAt);
  }

  /** When what was acknowledged; steady clock, nanoseconds. */
  private record Faults(long keyRevokedAt, String drained, long drainedAt) {}

  private Faults playFaults() throws IOException, InterruptedException {
    sleepUntil(REVOKE_AT);
    long keyRevokedAt =
        operator.patch(ConfigurationText.FIRST_EDITION, ConfigurationText.withoutKey());
    say("a key is revoked by configuration " + ConfigurationText.EDITION_WITHOUT_KEY);
    sleepUntil(REPLACE_CORE_AT);
    replaceCore();
    sleepUntil(DRAIN_AT);
    EmulatedBackend drained = backends.busiestModel();
    say(drained.id() + " is drained");
    long drainedAt = backends.drain(drained);
    say(drained.id() + " has ended");
    sleepUntil(RESTART_DOOR_AT);
    restartDoor();
    sleepUntil(CRASH_AT);
    EmulatedBackend crashed = backends.busiestModel();
    say(crashed.id() + " crashes");
    backends.crash(crashed);
    sleepUntil(LAST_EDITION_AT);
    operator.patch(ConfigurationText.EDITION_WITHOUT_KEY, ConfigurationText.last());
    say("configuration " + ConfigurationText.LAST_EDITION + " is taken");
    return new Faults(keyRevokedAt, drained.id(), drainedAt);
  }

  private void replaceCore() throws IOException, InterruptedException {
    if (plan.replaceCore()) {
      Machine lost = fleet.cores().get(1);
      say(lost.name() + " is killed and its disk is lost");
      Machine added = fleet.replaceCore(lost);
      say(added.name() + " starts in its place at " + added.ip() + " with an empty disk");
    }
  }

  /**
   * The door must be ready again before anything else happens: else the demonstration could end
   * within its start.
   */
  private void restartDoor() throws IOException, InterruptedException {
    Machine door = doors.get(0);
    say(door.name() + " is restarted");
    Optional<String> fault = fleet.restart(door);
    String evidence = door.name() + fault.map(what -> " " + what).orElse("");
    rules.add(
        new RuleResult(
            "a door that is restarted ends in time with code 0", fault.isEmpty(), evidence));
    await(door.name() + " is ready again", () -> DoorDirectory.isReady(door));
  }

  private void configurationReadBack() {
    List<String> read = new ArrayList<>();
    boolean newest = true;
    for (Machine core : fleet.cores()) {
      try {
        long edition = operator.editionAt(core);
        read.add(core.name() + " " + edition);
        newest &= edition == ConfigurationText.LAST_EDITION;
      } catch (IOException failure) {
        read.add(failure.getMessage());
        newest = false;
      }
    }
    String rule = "configuration " + ConfigurationText.LAST_EDITION + " is read back everywhere";
    rules.add(new RuleResult(rule, newest, String.join(", ", read)));
  }

  private void processesEnd() throws InterruptedException {
    List<String> died = fleet.ended();
    List<String> late = fleet.terminateAll();
    boolean held = died.isEmpty() && late.isEmpty();
    String evidence =
        held ? "all processes" : "ended by themselves " + died + ", ended badly " + late;
    rules.add(new RuleResult("processes end only when told to, with code 0", held, evidence));
  }

  /** Removes what a demonstration has left in its folder. */
  public static void deleteFolder(Path folder) throws IOException {
    FleetProcesses.deleteTree(folder);
  }

  private interface Check {
    boolean holds();
  }

  private void await(String what, Check check) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    while (!check.holds()) {
      if (System.nanoTime() - deadline > 0) {
        throw new IOException("not within " + START_TIMEOUT_MS + " ms: " + what);
      }
      List<String> ended = fleet.ended();
      if (!ended.isEmpty()) {
        throw new IOException("ended at the start: " + ended);
      }
      Thread.sleep(LOOK_EVERY_MS);
    }
    say(what);
  }

  /** Waits for a part of the load's time. */
  private void sleepUntil(double share) throws InterruptedException {
    long due = loadStartedAt + (long) (TimeUnit.SECONDS.toNanos(plan.loadSeconds()) * share);
    TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
  }

  private void say(String event) {
    double seconds = (System.nanoTime() - startedAt) / NANOS_A_SECOND;
    narrator.accept(String.format("%5.1f s  %s", seconds, event));
  }
}
