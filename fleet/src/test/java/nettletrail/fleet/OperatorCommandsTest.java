package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import nettletrail.fleet.cli.Console;
import nettletrail.fleet.cli.OperatorClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The operators' commands against a core of one that keeps its state on a disk. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OperatorCommandsTest {
  private static final String NOBODY = "127.0.0.1:1";
  private static final long PAUSE_MS = 20;
  private static final int ELECTION_ATTEMPTS = 20;
  private static final String FIRST =
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

  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private TestCore core;

  @BeforeEach
  void startAndConfigure() throws Exception {
    core = new TestCore(folder.resolve("data"));
    String file = file("first.json", FIRST);
    int code = -1;
    for (int i = 0; i < ELECTION_ATTEMPTS && code != 0; i++) {
      code = runAt(core.address(), "config", "put", "--if-match", "0", file);
    }
    assertEquals(0, code, errors());
  }

  @AfterEach
  void close() {
    core.close();
  }

  private String file(String name, String content) throws Exception {
    return Files.writeString(folder.resolve(name), content).toString();
  }

  private int runAt(String cores, String... arguments) {
    String[] all = new String[arguments.length + 2];
    System.arraycopy(arguments, 0, all, 0, arguments.length);
    all[arguments.length] = "--core";
    all[arguments.length + 1] = cores;
    return run(all);
  }

  private int run(String... arguments) {
    out.reset();
    err.reset();
    return OperatorClient.run(
        new Console(new PrintStream(out, true), new PrintStream(err, true)), arguments);
  }

  /** For what holds soon after the configuration was acknowledged; the test's time-out ends it. */
  private void runUntilDone(String... arguments) throws InterruptedException {
    while (runAt(core.address(), arguments) != 0) {
      Thread.sleep(PAUSE_MS);
    }
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8).strip();
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8).strip();
  }

  private Any json() {
    return JsonIterator.deserialize(output());
  }

  private long currentEdition() {
    assertEquals(0, runAt(core.address(), "config", "get"), errors());
    return json().get("edition").toLong();
  }

  private void registerBackend() throws Exception {
    String record =
        """
        {"carrier":"model","address":"10.0.0.1:8080","zone":"a","edition":"v1","berths":8,
         "state":"open_for_mail","cold_left_ms":0,"call_seq":3}
        """;
    URI uri = URI.create("http://" + core.address() + "/nettletrail/backends/b1");
    HttpRequest request =
        HttpRequest.newBuilder(uri).PUT(HttpRequest.BodyPublishers.ofString(record)).build();
    int status =
        HttpClient.newHttpClient()
            .send(request, HttpResponse.BodyHandlers.discarding())
            .statusCode();
    assertEquals(200, status);
  }

  @Test
  void listsShowWhatTheCoreKnows() throws Exception {
    registerBackend();
    assertEquals(0, runAt(core.address(), "backends", "--json"), errors());
    Any backend = json().get("backends", 0);
    assertEquals("core-1", backend.get("core").toString());
    assertEquals("b1", backend.get("backend").toString());
    assertEquals("ready", backend.get("state").toString());
    assertEquals(0, runAt(core.address(), "shards", "--json"), errors());
    assertEquals(5, json().get("shards").size());
    Any shard = json().get("shards", 0);
    assertEquals(core.address(), shard.get("owner").toString());
    assertTrue(shard.get("owned_here").toBoolean());
    assertEquals(1, shard.get("replicas").size());
    assertEquals(shard.get("committed_sequence").toLong(), shard.get("accepted_sequence").toLong());
    assertEquals(0, runAt(core.address(), "leases", "--json"), errors());
    assertEquals("owner of shard 0", json().get("leases", 0, "lease").toString());
    assertTrue(json().get("leases", 0, "left_ms").toLong() > 0);
    assertEquals(0, runAt(core.address(), "doors"), errors());
    assertEquals("(none)", output());
  }

  @Test
  void listsAreTablesOfWholeNumbers() throws Exception {
    registerBackend();
    assertEquals(0, runAt(core.address(), "backends"), errors());
    assertTrue(output().startsWith("core    backend  service"), output());
    assertTrue(output().contains(" 8      3 "), output());
    assertFalse(output().contains("8.0"), output());
  }

  @Test
  void coreThatIsDownIsNamedAndTheOthersCount() {
    assertEquals(0, runAt(core.address() + "," + NOBODY, "shards"), errors());
    assertTrue(output().contains("core-1"), output());
    assertTrue(errors().contains("calling " + NOBODY), errors());
    assertEquals(4, runAt(NOBODY, "shards", "--json"));
    assertTrue(errors().contains("\"step\":\"calling\""), errors());
    assertEquals(2, runAt("nowhere", "shards"));
  }

  @Test
  void quotaIsToldByItsOwner() throws Exception {
    runUntilDone("quota", "north", "--json");
    assertEquals("north", json().get("tenant").toString());
    assertEquals(100, json().get("rate_per_s").toInt());
    assertTrue(json().get("capacity").toLong() >= 50, output());
    assertEquals(3, runAt(core.address(), "quota", "nobody"));
    assertTrue(errors().contains("404"), errors());
  }

  @Test
  void rollbackPutsAnEarlierDocumentInForceAgain() throws Exception {
    assertEquals(0, runAt(core.address(), "config", "patch", file("patch.json", PATCH)), errors());
    assertEquals(0, runAt(core.address(), "config", "history", "--json"), errors());
    assertEquals(5, json().get("changes", 0, "edition").toLong());
    assertEquals(6, json().get("changes", 1, "edition").toLong());
    assertTrue(json().get("changes", 0, "on_disk").toBoolean(), output());
    assertEquals(1, runAt(core.address(), "config", "rollback", "5", "--dry-run"), errors());
    assertTrue(output().contains("timeout_ms 2000 -> 4000"), output());
    assertFalse(output().contains("secret"), output());
    assertEquals(6, currentEdition());
    assertEquals(0, runAt(core.address(), "config", "rollback", "5"), errors());
    assertEquals(7, currentEdition());
    assertEquals(4000, json().get("routes", 0, "timeout_ms").toInt());
    assertEquals(3, runAt(core.address(), "config", "rollback", "99"));
    assertTrue(errors().contains("edition 99 isn't on this disk"), errors());
  }

  /** Guards against a rollback that puts a change in force which was rejected. */
  @Test
  void rollbackNeverOffersAChangeThatWasLost() throws Exception {
    core.close();
    LostVersion.write(
        folder.resolve("data"),
        core.linkAddress(),
        new LostVersion.Change(6, document(6, "1000")),
        new LostVersion.Change(8, document(8, "3000")));
    core = new TestCore(folder.resolve("data"), core.ip());
    runUntilDone("config", "history", "--json");
    assertEquals(8, json().get("changes", 1, "edition").toLong(), output());
    assertEquals(3, runAt(core.address(), "config", "rollback", "6"), output());
    assertTrue(errors().contains("was never committed"), errors());
    assertEquals(8, currentEdition());
    assertEquals(3_000, json().get("routes", 0, "timeout_ms").toInt());
    Any versions = storedVersions();
    assertEquals(6, versions.get(1, "edition").toLong(), versions.toString());
    assertFalse(versions.get(1, "committed").toBoolean(), versions.toString());
    assertEquals(8, versions.get(2, "edition").toLong(), versions.toString());
    assertTrue(versions.get(2, "committed").toBoolean(), versions.toString());
  }

  private static String document(long edition, String timeout) {
    return FIRST
        .replace("\"edition\":5", "\"edition\":" + edition)
        .replace("\"timeout_ms\":4000", "\"timeout_ms\":" + timeout);
  }

  private Any storedVersions() throws Exception {
    URI uri = URI.create("http://" + core.address() + "/nettletrail/status/config/versions");
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    String body =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
    return JsonIterator.deserialize(body).get("versions");
  }

  @Test
  void snapshotComesBackAsANewEdition() throws Exception {
    String snapshot = folder.resolve("snapshot").toString();
    assertEquals(0, runAt(core.address(), "snapshot", "save", snapshot), errors());
    assertEquals(2, runAt(core.address(), "snapshot", "save", snapshot));
    assertEquals(0, run("snapshot", "verify", snapshot), errors());
    assertEquals(snapshot + " is whole, edition 5", output());
    assertEquals(0, runAt(core.address(), "config", "patch", file("patch.json", PATCH)), errors());
    assertEquals(0, runAt(core.address(), "snapshot", "restore", snapshot), errors());
    assertEquals(7, currentEdition());
    assertEquals(4000, json().get("routes", 0, "timeout_ms").toInt());
    String spoilt = Files.readString(Path.of(snapshot)).replace("4000", "4001");
    assertEquals(1, run("snapshot", "verify", file("spoilt", spoilt)));
    assertTrue(errors().contains("doesn't match its digest"), errors());
    assertEquals(
        1, runAt(core.address(), "snapshot", "restore", folder.resolve("spoilt").toString()));
    assertEquals(7, currentEdition());
  }

  @Test
  void diskCheckTellsAndRepairsNothing() throws Exception {
    String data = folder.resolve("data").toString();
    core.close();
    assertEquals(0, run("fsck", data), errors());
    assertTrue(output().endsWith("is healthy"), output());
    assertEquals(0, run("fsck", "--json", data), errors());
    assertTrue(json().get("healthy").toBoolean());
    assertEquals(5, json().get("shards").size());
    Path promise = folder.resolve("data/shard-0/promise");
    byte[] spoilt = Files.readAllBytes(promise);
    spoilt[spoilt.length - 1] ^= 1;
    Files.write(promise, spoilt);
    assertEquals(1, run("fsck", data));
    assertTrue(output().contains("fault: shard-0/promise"), output());
    assertTrue(output().contains("wrong checksum"), output());
    assertEquals(1, run("fsck", data), "it is still there");
    assertEquals(2, run("fsck", folder.resolve("none").toString()));
    assertFalse(Files.exists(folder.resolve("none")));
  }
}
