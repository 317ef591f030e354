package nettletrail.emulator.capacity.sockets;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.emulator.capacity.ProcessUse;

/**
 * Three core processes as the deploy file starts them, each at a loopback address of its own. One
 * thread.
 */
final class CoreProcesses implements AutoCloseable {
  private static final int SPARE_PORTS = 15;
  static final int COUNT = 3;

  private static final Path JAR = Path.of("fleet/target/nettletrail-fleet.jar");
  private static final String OPTIONS = "@deploy/core.args";
  private static final String SETTINGS_VARIABLE = "NETTLETRAIL_NODE_FILE";
  private static final String OUT_OF_BUFFERS = "java.lang.OutOfMemoryError: Cannot reserve";
  private static final int CONTROL_PORT = 18_665;
  private static final int LINK_PORT = 17_680;

  private final Path folder;
  private final String network;
  private final Process[] processes = new Process[COUNT];

  /**
   * Starts them.
   *
   * @param folder for settings, disks and logs
   * @param network first three parts of their addresses in 127.0.0.0/8
   */
  CoreProcesses(Path folder, String network) throws IOException {
    this.folder = folder;
    this.network = network;
    for (int i = 0; i < COUNT; i++) {
      Files.createDirectories(folder.resolve("disk-" + i));
      start(i, true);
    }
  }

  /** Starts one, on the disk that it had. */
  void start(int number, boolean firstRun) throws IOException {
    Path settings = folder.resolve("core-" + number + ".settings");
    Files.writeString(settings, settings(number, firstRun));
    ProcessBuilder builder =
        new ProcessBuilder(java(), OPTIONS, "-jar", JAR.toString(), "core")
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(
                    folder.resolve("core-" + number + ".log").toFile()));
    builder.environment().put(SETTINGS_VARIABLE, settings.toString());
    processes[number] = builder.start();
  }

  private static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private String settings(int number, boolean firstRun) {
    StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < COUNT; i++) {
      seeds.append(i == 0 ? "" : ",").append(host(i)).append(':').append(CONTROL_PORT);
    }
    return String.join(
        "\n",
        "node=core-" + number,
        "role=core",
        "machine_class=sorting",
        "serves=dispatch_office",
        "ip=" + host(number),
        "zone=zone-" + number,
        "region=region",
        "zones.zone-" + number + "=region",
        "spare_ports=" + LINK_PORT + "," + (LINK_PORT + SPARE_PORTS),
        "seed_nodes=" + seeds,
        "ports.control_gate=" + host(number) + ":" + CONTROL_PORT,
        "first_run=" + firstRun,
        "counts_for_quorum=true",
        "limits.cpu_share=0.9",
        "limits.core_count=2",
        "limits.memory_mb=426",
        "limits.file_limit=4096",
        "limits.link_mbps=1000.0",
        "limits.disk_mb=128",
        "data_dir=" + folder.resolve("disk-" + number),
        "discovery=registry",
        "entry=fixed_address",
        "beat_ms=1200",
        "");
  }

  private String host(int number) {
    return network + "." + (number + 1);
  }

  /** Where operators and backends call, by number. */
  String control(int number) {
    return "http://" + host(number) + ":" + CONTROL_PORT;
  }

  /** Where doors dial. */
  List<String> linkAddresses() {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < COUNT; i++) {
      addresses.add(host(i) + ":" + LINK_PORT);
    }
    return addresses;
  }

  /** Whether this one runs. */
  boolean isAlive(int number) {
    return processes[number].isAlive();
  }

  /** Ends one without warning; its disk remains. */
  void kill(int number) throws InterruptedException {
    processes[number].destroyForcibly().waitFor();
  }

  /** Seconds of processor time of each so far; 0 for one that has ended. */
  double[] cpuSeconds() {
    double[] seconds = new double[COUNT];
    for (int i = 0; i < COUNT; i++) {
      seconds[i] = ProcessUse.cpuSeconds(processes[i].pid());
    }
    return seconds;
  }

  /** The most that any of them ever had resident, MB. */
  double peakMb() {
    double max = 0;
    for (Process process : processes) {
      max = Math.max(max, ProcessUse.peakMb(process.pid()));
    }
    return max;
  }

  /** How many times any of them was out of memory for buffers so far, as their logs tell. */
  long outOfBuffers() throws IOException {
    long count = 0;
    for (int i = 0; i < COUNT; i++) {
      List<String> log = Files.readAllLines(folder.resolve("core-" + i + ".log"));
      count += log.stream().filter(line -> line.contains(OUT_OF_BUFFERS)).count();
    }
    return count;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      process.destroy();
    }
    for (Process process : processes) {
      try {
        if (!process.waitFor(2, TimeUnit.SECONDS)) {
          process.destroyForcibly();
        }
      } catch (InterruptedException e) {
        process.destroyForcibly();
        Thread.currentThread().interrupt();
      }
    }
  }
}
