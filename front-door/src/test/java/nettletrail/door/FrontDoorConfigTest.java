package nettletrail.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.decision.Gateway;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FrontDoorConfigTest {
  @TempDir private Path folder;

  private static void assertInvalid(Map<String, String> env, String why) {
    String message =
        assertThrows(FrontDoorConfig.InvalidConfigException.class, () -> FrontDoorConfig.read(env))
            .getMessage();
    assertTrue(message.contains(why), message);
    assertFalse(message.contains("\n"), message);
  }

  @Test
  void nestedSettingsReadLikeTheSimulatorsFormat() throws Exception {
    try (FrontDoorFixture fixture = new FrontDoorFixture(folder)) {
      FrontDoorConfig config = fixture.config();
      assertEquals(0xf0000000000000ffL, config.seed());
      assertEquals(List.of("look", "buy"), config.settings().names("Services"));
      assertEquals(List.of("a", "b"), config.settings().list("Dcs"));
      assertEquals(250_000_000, config.settings().durationNanos("Ceilings.ConnectTimeout"));
      Gateway.Settings settings = config.settings().settings(config.seed());
      assertEquals(Gateway.Idempotency.NOT_IDEMPOTENT, settings.classes().get(1).idempotency());
      assertEquals(1000, settings.plans().get(0).burstUnits());
    }
  }

  @Test
  void everyVariableIsRequiredAndEveryErrorIsOneLine() throws Exception {
    try (FrontDoorFixture fixture = new FrontDoorFixture(folder)) {
      Map<String, String> good = fixture.env();
      for (String name : good.keySet()) {
        Map<String, String> env = new HashMap<>(good);
        env.remove(name);
        assertInvalid(env, name + " is not set");
      }
      Map<String, String> env = new HashMap<>(good);
      env.put("EDGE_LISTEN", "localhost:3000");
      assertInvalid(env, "EDGE_LISTEN");
      env = new HashMap<>(good);
      env.put("EDGE_CONFIG", folder.resolve("none.json").toString());
      assertInvalid(env, "EDGE_CONFIG");
      Path file = Path.of(good.get("EDGE_CONFIG"));
      String text = Files.readString(file);
      for (String bad :
          List.of(
              "{",
              text.replace("f0000000000000ff", "no seed"),
              text.replace("\"known\"", "\"k\""),
              text.replace("\"settings\"", "\"s\""),
              text.replace("\"limits\"", "\"l\""))) {
        Files.writeString(file, bad);
        assertInvalid(good, "EDGE_CONFIG");
      }
    }
  }
}
