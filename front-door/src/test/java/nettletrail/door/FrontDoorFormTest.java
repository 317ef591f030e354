package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.decision.GatewaySettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * What other programs read of a front door and write for it: heads of messages, variables and keys.
 */
@Timeout(60)
class FrontDoorFormTest {
  private static final Pattern KEY = Pattern.compile("\"([A-Za-z_]+)\":");

  /** Each key that the module's settings are made of. */
  private static final String SETTINGS =
      """
            {"Balancers":3,"Index":1,"Zone":1,"Step":5,"Ceilings":{"MaxAttempts":4},"Discovery":"ask",
             "Obligations":{"ColdFrom":0.2,"RampTime":17,"OverloadFactor":3.0,"Fall":15},"Charges":{"CrossZone":2},
             "FamilyInfo":{"Metering":10,"MostUnits":6},"Report":{"Fields":["cpu_share","pending"]},
             "Aperture":{"Enabled":false,"Least":7,"DoorsPerBackend":9},
             "Services":[{"Name":"look","Deadline":8,"Aim":10,"Worth":2,"LateValue":3,"Effect":"free",
              "DedupScope":"all","Window":4}],
             "TiersOfService":[{"Name":"team","PerSecond":11.0,"Burst":12.0,"MaxOut":13,"NeverOverRate":14,
              "HardBurst":15,"HardSlack":16,"ExcessCost":17,"BeyondEarns":18,"Pays":19}]}""";

  @TempDir private Path folder;
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());

  /** Of attempts, as the module is told. */
  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

  /** Compares with the approved text; what was found is left in the build's folder. */
  private void verify(String name) throws Exception {
    String found = String.join("\n", lines) + "\n";
    Files.createDirectories(Path.of("target", "outer-forms"));
    Files.writeString(Path.of("target", "outer-forms", name), found);
    Path approved = Path.of("src", "test", "resources", "outer-forms", name);
    assertEquals(Files.exists(approved) ? Files.readString(approved) : "", found, name);
  }

  /**
   * The head as it came, and of a text the word that it begins with: mostly the header at fault.
   */
  private void add(String what, TestPeer.Message came) {
    lines.add("== " + what);
    boolean text = came.head().contains("text/plain");
    String head =
        text
            ? came.head().replaceAll("(content-length: )\\d+", "$1N")
            : came.head()
                .replaceAll("(X-Remaining-Ms: )\\d+", "$1N")
                .replaceAll("(X-Txn: )\\w+", "$1T");
    lines.addAll(List.of(head.split("\r\n")));
    if (!came.body().isEmpty()) {
      lines.add("  " + (text ? came.body().split(" ")[0] + " ..." : came.body()));
    }
  }

  @Test
  void messagesHaveTheirHeads() throws Exception {
    try (FrontDoorFixture rig = new FrontDoorFixture(folder);
        ServerSocket server = rig.backend()) {
      FrontDoorFixture.ScriptedGateway module =
          new FrontDoorFixture.ScriptedGateway() {
            private final List<Backend> told = new ArrayList<>();

            @Override
            public void onBackends(long now, boolean whole, List<Backend> entries) {
              if (told.isEmpty()) { // the list held from before; the same comes from discovery
                told.addAll(entries);
                entries.forEach(
                    each ->
                        lines.add(
                            "listed zone "
                                + each.zone()
                                + " kind "
                                + each.machineType()
                                + " cell "
                                + each.cell()
                                + " size "
                                + each.weight()
                                + " state "
                                + each.state().ordinal()));
              }
            }

            @Override
            public void onRequest(long now, Request request) {
              long s = request.timeoutNanos() / 1_000_000_000L;
              if (s > 20) {
                actions.fail(request.id());
              } else if (s > 5) {
                actions.reject(request.id(), 1_500_000_000L);
              } else {
                actions.send(request.id(), told.get(0).id(), 0);
              }
            }

            @Override
            public void onAttemptEnd(long now, AttemptReport answer) {
              outcomes.add(
                  "told "
                      + answer.outcome().ordinal()
                      + " "
                      + answer.quotaUsedPercent()
                      + " "
                      + answer.actualUnits());
              actions.fail(answer.requestId());
            }
          };
      rig.connectTimeoutMs(5_000);
      rig.start(
          module.factory(),
          FrontDoorFixture.entry("s-1", server.getLocalPort(), "SERVING"),
          FrontDoorFixture.entry("s-2", 1, "DRAINING"),
          FrontDoorFixture.entry("s-3", 1, "DELETED"));
      own(rig);
      backends(rig, server);
    }
    verify("front-door-messages.txt");
  }

  private void own(FrontDoorFixture rig) throws Exception {
    String status = "GET %s HTTP/1.1\r\nHost: gw\r\n\r\n";
    for (String page : List.of("/-/ready", "/-/", "/-/live", "/-/counts", "/", "/apix")) {
      add("GET " + page, rig.client().write(status.formatted(page)).read());
    }
    add(
        "closing",
        rig.client()
            .write("GET /-/ready HTTP/1.1\r\nHost: gw\r\nConnection: close\r\n\r\n")
            .read());
    add(
        "continue",
        rig.client()
            .write(
                "POST /api/x HTTP/1.1\r\nHost: gw\r\nContent-Length: 1\r\n"
                    + "Expect: 100-continue\r\n\r\n")
            .read());
    add("refused", rig.client().write(FrontDoorFixture.request("buy", "a", 10_000, "x")).read());
    add("failed", rig.client().write(FrontDoorFixture.request("buy", "b", 30_000, "x")).read());
    String good = FrontDoorFixture.request("buy", "c", 3_000, "x");
    Matcher header = Pattern.compile("(?m)^(Host|X-[A-Za-z-]+): .*\r\n").matcher(good);
    while (header.find()) {
      add(
          "without " + header.group(1),
          rig.client().write(good.replace(header.group(), "")).read());
      add(
          "twice " + header.group(1),
          rig.client().write(good.replace(header.group(), header.group().repeat(2))).read());
    }
    for (String part : List.of("units", "spread", "first")) {
      add("without " + part, rig.client().write(good.replace(part, "other")).read());
    }
    add("other version", rig.client().write(good.replace("HTTP/1.1", "HTTP/2.0")).read());
    add("other method", rig.client().write(good.replace("POST", "PUT")).read());
    add("too large", rig.client().write(good.replace("Length: 1", "Length: 65537")).read());
  }

  private void backends(FrontDoorFixture rig, ServerSocket server) throws Exception {
    String used =
        "X-Quota-Used: 17\r\nX-Units-Charged: 1.5\r\nX-Pressure: cpu_share=0.5,pending=3\r\n";
    TestPeer client = rig.client().write(FrontDoorFixture.request("look", "d", 3_000, ""));
    TestPeer backend = rig.closeLater(TestPeer.accept(server));
    add("to a backend", backend.read());
    backend.answer("200 OK", "Content-Type: text/x\r\n" + used, "done");
    add("served", client.read());
    lines.add(outcomes.poll(10, TimeUnit.SECONDS));
    for (String answer :
        List.of("500 Oh", "503 Oh", "503 Oh\r\nX-Turned-Away: 1", "504 Oh\r\nX-Turned-Away: 1")) {
      client.write(FrontDoorFixture.request("buy", "e" + lines.size(), 3_000, "x"));
      add("to a backend", backend.read());
      backend.answer(answer, used, "");
      add(answer.replace("\r\n", ", "), client.read());
      lines.add(outcomes.poll(10, TimeUnit.SECONDS));
    }
  }

  @Test
  void discoveryIsAskedInItsForm() throws Exception {
    try (FrontDoorFixture rig = new FrontDoorFixture(folder)) {
      rig.start(
          FrontDoorFixture.entry(
              "s-1", 1, "SERVING")); // reads two calls and has answered the first
    }
    try (FrontDoorFixture rig = new FrontDoorFixture(folder)) {
      FrontDoor door = FrontDoor.start(rig.config(), FrontDoor.GATEWAY_FACTORY);
      try (TestPeer agent = TestPeer.accept(rig.discovery)) {
        add("whole list", agent.read());
        agent.answer(
            "200 OK",
            "",
            FrontDoorFixture.list(41, true, FrontDoorFixture.entry("s-1", 1, "SERVING")));
        add("changes", agent.read());
      } finally {
        door.stop();
      }
    }
    verify("front-door-discovery.txt");
  }

  private Map<String, String> env(String file) throws Exception {
    try (FrontDoorFixture rig = new FrontDoorFixture(folder)) {
      Map<String, String> env = new HashMap<>(rig.env());
      env.replaceAll((name, value) -> name.equals("EDGE_DISCOVERY") ? "127.0.0.1:9" : value);
      Files.writeString(Path.of(env.get("EDGE_CONFIG")), file);
      return env;
    }
  }

  /** All that is made of the configuration, whatever its parts are called. */
  private static List<Object> read(Map<String, String> env) {
    try {
      FrontDoorConfig config = FrontDoorConfig.read(env);
      GatewaySettingsReader reader = config.settings();
      return List.of(
          config.name(),
          config.listen(),
          config.discovery(),
          config.seed(),
          config.maxSockets(),
          config.knownEndpoints(),
          reader.settings(1),
          reader.gatewayIndex(),
          reader.aperture(FrontDoorExtensions.NONE.aperture()),
          reader.loadReportFields(),
          reader.maxUnitsPerRequest(),
          reader.maxDeadlineNanos(),
          reader.names("Services"),
          reader.names("TiersOfService"),
          FrontDoorConfig.currentDiscoveryAddress(env));
    } catch (FrontDoorConfig.InvalidConfigException unusable) {
      return List.of("unusable");
    }
  }

  /** Each variable and key is given another name: if it was read, something else comes of it. */
  @Test
  void variablesAndKeysAreRead() throws Exception {
    String file =
        "{\"name\":\"n0\",\"discovery\":\"127.0.0.1:8\",\"seed\":\"ff\",\"limits\":{\"sockets\":1024},"
            + "\"known\":{\"index\":1},\"settings\":"
            + SETTINGS
            + "}";
    Map<String, String> env = env(file);
    List<Object> all = read(env);
    for (String name : env.keySet().stream().sorted().toList()) {
      Map<String, String> fewer = new HashMap<>(env);
      fewer.remove(name);
      lines.add(name + (read(fewer).equals(all) ? " isn't read" : " is read"));
    }
    Matcher key = KEY.matcher(file);
    while (key.find()) {
      String other = file.substring(0, key.start(1)) + "Other" + file.substring(key.start(1));
      lines.add(key.group(1) + (read(env(other)).equals(all) ? " isn't read" : " is read"));
    }
    verify("front-door-keys.txt");
  }
}
