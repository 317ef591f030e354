package nettletrail.fleet.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OperatorClientTest {
  private static final String DOCUMENT =
      """
      {"edition":5,"routes":[{"name":"chat","station":"a.example","lane_prefix":"/","kind":"serial",
       "timeout_ms":4000,"carrier":"model"}],"carriers":[{"name":"model"}],
       "senders":[{"name":"tenant","passes":["secret-1"]}]}
      """;
  private static final String UNREACHABLE = "127.0.0.1:1";

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    out.reset();
    err.reset();
    return OperatorClient.run(
        new Console(new PrintStream(out, true), new PrintStream(err, true)), arguments);
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8).strip();
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8).strip();
  }

  private String file(String content) throws IOException {
    Path file = Files.createTempFile(folder, "input", ".json");
    return Files.writeString(file, content).toString();
  }

  @Test
  void getPrintsTheFirstDefiniteResponse() throws Exception {
    try (StubCore busy = new StubCore().answers(503, "{\"error\":\"no owner\"}");
        StubCore core = new StubCore().answers(200, DOCUMENT)) {
      String cores = UNREACHABLE + "," + busy.address() + "," + core.address();
      assertEquals(0, run("config", "get", "--core", cores));
      assertEquals(DOCUMENT.strip(), output());
      assertEquals(1, busy.calls.size());
    }
  }

  @Test
  void putBuildsOnTheCurrentEdition() throws Exception {
    try (StubCore core = new StubCore().answers(200, "{\"edition\":4}").answers(200, "{}")) {
      assertEquals(0, run("config", "put", "--core", core.address(), file(DOCUMENT)));
      assertEquals(new StubCore.Call("PUT", "4", DOCUMENT), core.calls.get(1));
      assertEquals("taken by " + core.address() + ", built on edition 4", output());
    }
  }

  @Test
  void firstPutBuildsOnEditionZero() throws Exception {
    try (StubCore core = new StubCore().answers(404, "{\"error\":\"none\"}").answers(200, "{}")) {
      String expected = "{\"taken\":true,\"built_on\":\"0\",\"core\":\"" + core.address() + "\"}";
      assertEquals(0, run("config", "put", "--json", "--core", core.address(), file(DOCUMENT)));
      assertEquals("0", core.calls.get(1).ifMatch());
      assertEquals(expected, output());
    }
  }

  @Test
  void patchFollowsARedirectWithTheSameRequest() throws Exception {
    String patch = "{\"edition\":9,\"withdraw\":{\"routes\":[\"chat\"]}}";
    try (StubCore owner = new StubCore().answers(200, "{}");
        StubCore core = new StubCore().redirectsTo(owner)) {
      String[] command = {
        "config", "patch", "--if-match", "7", "--core", core.address(), file(patch)
      };
      assertEquals(0, run(command));
      assertEquals(List.of(new StubCore.Call("PATCH", "7", patch)), owner.calls);
    }
  }

  @Test
  void rejectionReportsCoreStatusAndReason() throws Exception {
    try (StubCore core = new StubCore().answers(412, "{\"error\":\"edition 6 is current\"}")) {
      String[] command = {
        "config", "put", "--if-match", "5", "--core", core.address(), file(DOCUMENT)
      };
      assertEquals(3, run(command));
      assertEquals("calling " + core.address() + ": 412 edition 6 is current", errors());
      assertEquals(1, core.calls.size());
    }
  }

  @Test
  void indefiniteResponsesAreRetriedAndReportedForEachCore() throws Exception {
    try (StubCore core = new StubCore().answers(503, "{\"error\":\"no owner\"}")) {
      String cores = core.address() + "," + UNREACHABLE;
      assertEquals(4, run("config", "get", "--json", "--core", cores));
      assertTrue(errors().contains(core.address() + ": 503 no owner"), errors());
      assertTrue(errors().contains(UNREACHABLE + ": java.net.ConnectException"), errors());
      assertTrue(errors().contains("\"step\":\"calling\""), errors());
      assertTrue(errors().contains("\"exit_code\":4"), errors());
      assertEquals(3, core.calls.size());
    }
  }

  @Test
  void diffListsItemsAndFieldsButNoKeys() throws Exception {
    String changed =
        DOCUMENT
            .replace("\"edition\":5", "\"edition\":6")
            .replace("4000", "2000.0")
            .replace("secret-1", "secret-2")
            .replace("[{\"name\":\"model\"}]", "[{\"name\":\"model\"},{\"name\":\"other\"}]");
    try (StubCore core = new StubCore().answers(200, DOCUMENT)) {
      assertEquals(1, run("config", "diff", "--core", core.address(), file(changed)));
      List<String> expected =
          List.of(
              "+ carriers other",
              "~ edition: edition 5 -> 6",
              "~ routes chat: timeout_ms 4000 -> 2000",
              "~ senders tenant: passes changed");
      assertEquals(expected, output().lines().toList());
      assertFalse(output().contains("secret"));
      String removed = DOCUMENT.replaceAll("(?s)\"senders\".*]}]", "\"senders\":[]");
      assertEquals(1, run("config", "diff", "--json", "--core", core.address(), file(removed)));
      String change =
          "{\"change\":\"removed\",\"section\":\"senders\",\"name\":\"tenant\",\"details\":[]}";
      assertEquals("{\"changes\":[" + change + "]}", output());
      String same = DOCUMENT.replace("4000", "4.0e3");
      assertEquals(0, run("config", "diff", "--json", "--core", core.address(), file(same)));
      assertEquals("{\"changes\":[]}", output());
    }
  }

  @Test
  void checkFindsFaultsWithoutACore() throws Exception {
    assertEquals(0, run("config", "check", "--json", file(DOCUMENT)));
    assertEquals("{\"valid\":true,\"edition\":5}", output());
    assertEquals(1, run("config", "check", file(DOCUMENT.replace("4000", "0"))));
    assertTrue(errors().contains("timeout_ms"), errors());
    assertEquals(1, run("config", "put", "--core", UNREACHABLE, file("{")));
  }

  // Guards against: an operator doesn't notice that a configuration lets everyone in.
  @Test
  void routesThatAreOpenToEveryoneAreNamed() throws Exception {
    String open =
        """
        {"edition":5,"routes":[{"name":"chat","station":"a.example","lane_prefix":"/",
         "kind":"serial","timeout_ms":4000,"carrier":"model"}],"carriers":[{"name":"model"}]}
        """;
    String warning = "without senders these routes are open to everyone: chat";
    assertEquals(0, run("config", "check", file(open)));
    assertEquals("warning: " + warning, errors());
    assertEquals(0, run("config", "check", "--json", file(open)));
    assertEquals("{\"warning\":\"" + warning + "\"}", errors());
    assertEquals(
        0, run("config", "check", file(open.replaceFirst("\\}\\s*$", ",\"senders\":[]}"))));
    assertEquals("", errors());
  }

  @Test
  void checkSettingsReportsEveryFault() throws Exception {
    String settings =
        """
        node=counter-a-1
        ip=10.1.0.14
        zone=a
        spare_ports=7680,7695
        seed_nodes=
        """;
    assertEquals(0, run("check-settings", file(settings)));
    assertTrue(output().endsWith("counter-a-1, internal address 10.1.0.14:7680"), output());
    String faulty = settings.replace("7680,", "").replace("zone=a", "zone=");
    assertEquals(1, run("check-settings", file(faulty)));
    assertTrue(errors().contains("zone has no value"), errors());
    assertTrue(errors().contains("spare_ports is '7695'"), errors());
  }

  @Test
  void invalidCommandLineHasItsOwnExitCode() throws Exception {
    assertEquals(2, run("config", "get"));
    assertEquals(2, run("config", "get", "--core", "nowhere"));
    assertEquals(2, run("config", "get", "--core", ","));
    assertEquals(2, run("config", "put", "--core", UNREACHABLE));
    assertEquals(2, run("config", "put", "--core", UNREACHABLE, folder.resolve("none").toString()));
    assertEquals(2, run("config", "lose"));
    assertEquals(2, run("nonsense"));
    assertFalse(errors().isEmpty());
  }

  @Test
  void helpListsCommandsAndExitCodes() {
    for (String[] arguments : new String[][] {{}, {"help"}, {"config", "--help"}}) {
      assertEquals(0, run(arguments));
      assertTrue(output().contains("config"), output());
      assertTrue(output().contains("4  no core gave a clear answer"), output());
    }
    assertEquals(0, run("help", "config", "put"));
    assertTrue(output().contains("--if-match"), output());
  }

  /** Each status command against a core whose answer ends early, at every length. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "doors|{\"core\":\"core-1\",\"doors\":[{\"door\":\"a\",\"age_ms\":12,\"draining\":false}]}",
        "backends|{\"core\":\"core-1\",\"backends\":[{\"id\":\"i-1\",\"state\":\"READY\"}]}",
        "shards|{\"core\":\"core-1\",\"shards\":[{\"shard\":0,\"owner\":null,\"group\":[\"a\"]}]}",
        "leases|{\"core\":\"core-1\",\"leases\":[{\"door\":\"a\",\"left_ms\":1.5e3}]}",
        "config history|{\"versions\":[{\"edition\":5}],\"changes\":[{\"edition\":5}]}"
      })
  void truncatedAnswersOfACoreAreReported(String command, String answer) throws Exception {
    for (int length = 1; length < answer.length(); length++) {
      try (StubCore core = new StubCore().answers(200, answer.substring(0, length))) {
        List<String> arguments = new ArrayList<>(List.of(command.split(" ")));
        arguments.addAll(List.of("--core", core.address()));
        int code = run(arguments.toArray(String[]::new));
        assertEquals(ExitCode.NO_CLEAR_ANSWER.number(), code, "after " + length + ": " + errors());
        assertTrue(errors().contains(core.address()), errors());
      }
    }
  }
}
