package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Starts, kills, replaces and restarts the processes of the emulated machines. Used by one thread;
 * only {@link #cores} and {@link #controlAddresses} may be called on any thread.
 */
final class FleetProcesses {
  private final Path home;
  private final Path directory;
  private final LoopbackNetwork network;
  private final Map<EmulatedMachine, ChildProcess> running = new LinkedHashMap<>();
  private volatile List<EmulatedMachine> cores = List.of();
  private int lastCore;

  /**
   * Starts nothing yet.
   *
   * @param home the repository
   * @param directory for settings, disks and logs
   */
  FleetProcesses(Path home, Path directory, LoopbackNetwork network) {
    this.home = home;
    this.directory = directory;
    this.network = network;
  }

  /** The current core machines. */
  List<EmulatedMachine> cores() {
    return cores;
  }

  /** The control addresses of the current core machines. */
  List<String> controlAddresses() {
    return cores.stream().map(EmulatedMachine::controlAddress).toList();
  }

  /** Starts the core machines of a new system. */
  void startCore(int count) throws IOException {
    List<EmulatedMachine> machines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      machines.add(newCore());
    }
    cores = List.copyOf(machines);
    for (EmulatedMachine machine : machines) {
      launch(machine, true);
    }
  }

  /** Starts the doors, in the zones in turn. */
  List<EmulatedMachine> startDoors(int zoneCount, int doorsPerZone) throws IOException {
    List<EmulatedMachine> doors = new ArrayList<>();
    for (int i = 0; i < zoneCount * doorsPerZone; i++) {
      String zone = DemonstrationPlan.zone(i % zoneCount);
      EmulatedMachine door = machine("door-" + (i + 1), EmulatedMachine.DOOR, zone);
      doors.add(door);
      launch(door, true);
    }
    return doors;
  }

  /** Kills a core machine and starts another one at a new address, with an empty disk. */
  EmulatedMachine replaceCore(EmulatedMachine lost) throws IOException, InterruptedException {
    running.remove(lost).kill();
    DirectoryTree.delete(lost.dataDirectory());
    EmulatedMachine added = newCore();
    List<EmulatedMachine> machines = new ArrayList<>(cores);
    machines.remove(lost);
    machines.add(added);
    cores = List.copyOf(machines);
    launch(added, false);
    return added;
  }

  /**
   * Terminates a process with SIGTERM and starts it again.
   *
   * @return why the termination was not graceful; empty if it was
   */
  Optional<String> restart(EmulatedMachine machine) throws IOException, InterruptedException {
    ChildProcess process = running.get(machine);
    process.requestTermination();
    Optional<String> failure = process.awaitTermination();
    launch(machine, false);
    return failure;
  }

  /**
   * Terminates all processes with SIGTERM, the doors first.
   *
   * @return one message for each process whose termination was not graceful
   */
  List<String> terminateAll() throws InterruptedException {
    List<String> failures = new ArrayList<>(terminate(EmulatedMachine::isDoor));
    failures.addAll(terminate(machine -> !machine.isDoor()));
    return failures;
  }

  private List<String> terminate(Predicate<EmulatedMachine> selected) throws InterruptedException {
    List<EmulatedMachine> machines = running.keySet().stream().filter(selected).toList();
    machines.forEach(machine -> running.get(machine).requestTermination());
    List<String> failures = new ArrayList<>();
    for (EmulatedMachine machine : machines) {
      Optional<String> failure = running.remove(machine).awaitTermination();
      failure.ifPresent(reason -> failures.add(machine.name() + " " + reason));
    }
    return failures;
  }

  /** Kills all processes that still run. */
  void killAll() throws InterruptedException {
    for (ChildProcess process : running.values()) {
      process.kill();
    }
    running.clear();
  }

  /** The names of machines whose processes terminated although nothing requested it. */
  List<String> terminatedProcesses() {
    return running.entrySet().stream()
        .filter(entry -> !entry.getValue().isAlive())
        .map(entry -> entry.getKey().name())
        .toList();
  }

  private EmulatedMachine newCore() {
    lastCore++;
    return machine("core-" + lastCore, EmulatedMachine.CORE, DemonstrationPlan.zone(0));
  }

  private EmulatedMachine machine(String name, String role, String zone) {
    return new EmulatedMachine(name, role, network.nextAddress(), zone, directory.resolve(name));
  }

  private void launch(EmulatedMachine machine, boolean firstRun) throws IOException {
    Files.createDirectories(machine.directory());
    Files.writeString(
        machine.settingsFile(), SettingsTemplate.of(machine, controlAddresses(), firstRun));
    running.put(machine, ChildProcess.start(home, machine));
  }
}
