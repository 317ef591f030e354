package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettletrail.fleet.settings.SettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The names, types and labels of the figures of both roles, read from processes that are linked.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class MetricsFormTest {
  private static final int CORE_METRICS_PORT = 9464;
  private static final int DOOR_METRICS_PORT = 9465;
  private static final int METRICS = 3;
  private static final long PAUSE_MS = 50;
  private static final Pattern SAMPLE = Pattern.compile("^(\\w+)(?:\\{(.*)\\})? \\S+$");
  private static final Pattern LABEL = Pattern.compile("(\\w+)=\"[^\"]*\"");

  @TempDir private Path folder;

  @Test
  void bothRolesTellTheSameNamesTypesAndLabels() throws Exception {
    try (TestCore core = new TestCore(folder.resolve("data"))) {
      core.serveMetrics(CORE_METRICS_PORT);
      DoorProcess door = startDoor(core);
      try {
        door.serveMetrics(DOOR_METRICS_PORT);
        ApprovedForm.verify("metrics-core.txt", form(core.ip(), CORE_METRICS_PORT));
        ApprovedForm.verify("metrics-door.txt", form(core.doorIp(), DOOR_METRICS_PORT));
      } finally {
        door.drain();
      }
    }
  }

  /** A door on an address of its own. */
  private static DoorProcess startDoor(TestCore core) throws Exception {
    String settings =
        """
        node=door-1
        ip=%1$s
        zone=a
        serves=counter
        spare_ports=7680,7695
        seed_nodes=%2$s
        ports.public_gate=%1$s:8662
        ports.ready_gate=%1$s:8663
        """
            .formatted(core.doorIp(), core.address());
    DoorProcess door = new DoorProcess(SettingsReader.parse(settings, "test"));
    door.start();
    return door;
  }

  /** Waits until every figure has a sample, which is when messages went both ways. */
  private static List<String> form(String ip, int port) throws Exception {
    while (true) {
      List<String> lines = formNow(ip, port);
      if (lines.stream().filter(line -> line.startsWith("# TYPE ")).count() >= METRICS) {
        return lines;
      }
      Thread.sleep(PAUSE_MS);
    }
  }

  private static List<String> formNow(String ip, int port) throws Exception {
    URI uri = URI.create("http://" + ip + ":" + port + "/metrics");
    HttpResponse<String> answer =
        HttpClient.newHttpClient()
            .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    assertEquals(200, answer.statusCode());
    TreeSet<String> lines = new TreeSet<>();
    lines.add("Content-Type " + answer.headers().firstValue("Content-Type").orElse(""));
    answer
        .body()
        .lines()
        .filter(line -> !line.startsWith("# HELP "))
        .forEach(line -> lines.add(line.startsWith("#") ? line : sampleForm(line)));
    return List.copyOf(lines);
  }

  /** The name of a sample and those of its labels, without their values. */
  private static String sampleForm(String line) {
    Matcher sample = SAMPLE.matcher(line);
    if (!sample.matches()) {
      return "not a sample: " + line;
    }
    TreeSet<String> labels = new TreeSet<>();
    Matcher label = LABEL.matcher(sample.group(2) == null ? "" : sample.group(2));
    while (label.find()) {
      labels.add(label.group(1));
    }
    return sample.group(1) + " " + labels;
  }
}
