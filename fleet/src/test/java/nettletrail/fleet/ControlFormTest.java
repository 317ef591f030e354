package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import nettletrail.fleet.cli.Console;
import nettletrail.fleet.cli.OperatorClient;
import nettletrail.fleet.settings.SettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What a core that has a door, a backend and a configuration answers: to calls of its control
 * interface, and to the operators' commands with {@code --json}.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ControlFormTest {
  private static final String CONFIGURATION = "/nettletrail/config";
  private static final String BACKENDS = "/nettletrail/backends/";
  private static final String STATUS = "/nettletrail/status/";
  private static final String UNREACHABLE_CORE = "127.0.0.1:1";
  private static final int OK = 200;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
  private static final long POLL_INTERVAL_MS = 50;
  private static final String DOCUMENT =
      """
      {"edition":5,"routes":[{"name":"chat","station":"a.example","lane_prefix":"/","kind":"serial",
       "timeout_ms":4000,"carrier":"model"}],"carriers":[{"name":"model"}],
       "senders":[{"name":"north","passes":["secret-1"],"rate_per_s":100,"burst":50}]}
      """;
  private static final String PATCH =
      """
      {"edition":6,"deliver":{"routes":[{"name":"chat","station":"a.example","lane_prefix":"/",
       "kind":"serial","timeout_ms":2000,"carrier":"model"}]}}
      """;
  private static final String BACKEND =
      """
      {"carrier":"model","address":"10.0.0.1:8080","zone":"a","edition":"v1","berths":8,
       "state":"open_for_mail","cold_left_ms":0,"stage":"either_way","models":[{"name":"m"}],
       "call_seq":3}
      """;

  private final HttpClient http = HttpClient.newHttpClient();
  private final List<String> lines = new ArrayList<>();
  @TempDir private Path folder;
  private TestCore core;
  private DoorProcess door;

  @BeforeEach
  void start() throws Exception {
    core = new TestCore(folder.resolve("data"));
    while (!isConfigured()) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
    assertEquals(OK, send("PUT", BACKENDS + "b1", "", BACKEND).statusCode());
    door = startDoor();
    while (!send("GET", STATUS + "leases", "", "").body().contains("door-1")) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
    while (send("GET", STATUS + "quota/north", "", "").statusCode() != OK) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  @AfterEach
  void stop() throws Exception {
    if (door != null) {
      door.drain();
    }
    core.close();
  }

  /**
   * A deregistration is acknowledged once the core knows which doors hold a lease, which is one
   * lease after its start; before that it answers 503.
   */
  private void awaitAcknowledgedDeregistrations() throws Exception {
    while (send("DELETE", BACKENDS + "unknown", "", "").statusCode() != OK) {
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** False too if a core that has no leader yet leaves the call unanswered. */
  private boolean isConfigured() throws Exception {
    try {
      return send("PUT", CONFIGURATION, "0", DOCUMENT).statusCode() == OK;
    } catch (HttpTimeoutException unanswered) {
      return false;
    }
  }

  private DoorProcess startDoor() throws Exception {
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
    DoorProcess started = new DoorProcess(SettingsReader.parse(settings, "test"));
    started.start();
    return started;
  }

  private HttpResponse<String> send(String method, String target, String ifMatch, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + core.address() + target))
            .timeout(ANSWER_TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (!ifMatch.isEmpty()) {
      request.header("If-Match", ifMatch);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private void call(String method, String target, String ifMatch, String body) throws Exception {
    HttpResponse<String> answer = send(method, target, ifMatch, body);
    String condition = ifMatch.isEmpty() ? "" : " If-Match: " + ifMatch;
    lines.add(method + " " + target + condition + " -> " + answer.statusCode());
    answer
        .headers()
        .map()
        .forEach(
            (name, values) ->
                lines.add(
                    "  " + name + (name.equals("content-length") ? "" : ": " + values.get(0))));
    JsonShape.of(answer.body()).forEach(line -> lines.add("  " + line));
  }

  @Test
  void statusInterfaceAnswersWithItsKeys() throws Exception {
    for (String resource :
        List.of(
            "doors",
            "backends",
            "shards",
            "leases",
            "quota/north",
            "quota/nobody",
            "config/history",
            "config/versions",
            "config/versions/5",
            "config/versions/99",
            "nothing")) {
      call("GET", STATUS + resource, "", "");
    }
    call("POST", STATUS + "doors", "", "{}");
    ApprovedForm.verify("control-status.txt", lines);
  }

  @Test
  void configurationCallsHaveTheirAnswers() throws Exception {
    call("GET", CONFIGURATION, "", "");
    call("PATCH", CONFIGURATION, "5", PATCH);
    call("PATCH", CONFIGURATION, "4", PATCH.replace("2000", "1000"));
    call("PUT", CONFIGURATION, "4", DOCUMENT);
    call("PUT", CONFIGURATION, "", DOCUMENT.replace("\"edition\":5", "\"edition\":7"));
    call("PUT", CONFIGURATION, "6", "{");
    call("PUT", CONFIGURATION, "6", DOCUMENT.replace("\"edition\":5", "\"edition\":6"));
    call("PUT", CONFIGURATION, "x", DOCUMENT);
    call("PUT", CONFIGURATION, "\"6\"", DOCUMENT.replace("\"edition\":5", "\"edition\":7"));
    call("DELETE", CONFIGURATION, "", "");
    ApprovedForm.verify("control-configuration.txt", lines);
  }

  @Test
  void backendAndOtherCallsHaveTheirAnswers() throws Exception {
    awaitAcknowledgedDeregistrations();
    call("PUT", BACKENDS + "b2", "", BACKEND);
    call("PUT", BACKENDS + "b2", "", BACKEND.replace("open_for_mail", "other"));
    call("PUT", BACKENDS + "b2", "", "{}");
    call("DELETE", BACKENDS + "b2?call_seq=9", "", "");
    call("DELETE", BACKENDS + "b2", "", "");
    call("DELETE", BACKENDS + "b2?call_seq=x", "", "");
    call("GET", BACKENDS + "b2", "", "");
    call("PUT", BACKENDS + "a/b", "", BACKEND);
    call("GET", "/nettletrail/ready", "", "");
    call("PUT", "/nettletrail/ready", "", "");
    call("GET", "/nettletrail/nothing", "", "");
    ApprovedForm.verify("control-backends.txt", lines);
  }

  private void command(String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int code =
        OperatorClient.run(
            new Console(new PrintStream(out, true), new PrintStream(err, true)), arguments);
    String command = String.join(" ", arguments).replace(folder.toString(), "FOLDER");
    lines.add(command.replace(core.address(), "CORE") + " -> " + code);
    addShape("out", out);
    addShape("err", err);
  }

  private void addShape(String stream, ByteArrayOutputStream written) {
    String text = written.toString(StandardCharsets.UTF_8).strip();
    if (!text.isEmpty()) {
      JsonShape.of(text).forEach(line -> lines.add("  " + stream + " " + line));
    }
  }

  private String file(String name, String content) throws Exception {
    return Files.writeString(folder.resolve(name), content).toString();
  }

  @Test
  void commandsWriteTheirKeysAsJson() throws Exception {
    String cores = core.address();
    for (String list : List.of("doors", "backends", "shards", "leases")) {
      command(list, "--json", "--core", cores);
    }
    command("shards", "--json", "--core", UNREACHABLE_CORE);
    command("quota", "--json", "--core", cores, "north");
    command("quota", "--json", "--core", cores, "nobody");
    command("config", "get", "--json", "--core", cores);
    String patch = file("patch.json", PATCH);
    command("config", "patch", "--json", "--core", cores, patch);
    String document = file("document.json", DOCUMENT.replace("\"edition\":5", "\"edition\":7"));
    command("config", "check", "--json", document);
    command("config", "diff", "--json", "--core", cores, document);
    command("config", "put", "--json", "--core", cores, "--if-match", "3", document);
    command("config", "put", "--json", "--core", cores, document);
    command("config", "history", "--json", "--core", cores);
    command("config", "rollback", "--json", "--core", cores, "--dry-run", "6");
    command("config", "rollback", "--json", "--core", cores, "6");
    command("config", "rollback", "--json", "--core", cores, "99");
    String snapshot = folder.resolve("snapshot").toString();
    command("snapshot", "save", "--json", "--core", cores, snapshot);
    command("snapshot", "verify", "--json", snapshot);
    command("snapshot", "restore", "--json", "--core", cores, "--dry-run", snapshot);
    command("snapshot", "restore", "--json", "--core", cores, snapshot);
    String settings =
        file("settings", "node=n\nip=10.1.0.14\nzone=a\nspare_ports=7680,7695\nseed_nodes=\n");
    command("check-settings", "--json", settings);
    command("check-settings", "--json", file("faulty", "node=n\n"));
    core.close();
    command("fsck", "--json", folder.resolve("data").toString());
    command("fsck", "--json", folder.resolve("none").toString());
    ApprovedForm.verify("commands-json.txt", lines);
  }
}
