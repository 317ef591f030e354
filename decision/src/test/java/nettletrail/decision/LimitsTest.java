package nettletrail.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The size limit that operators set for the policy file, and the README's example. */
class LimitsTest {
  private static final Path MODULE =
      Path.of("src/main/java/nettletrail/decision/GatewayDecider.java");

  @Test
  void policyFileIsShortAndNamesItsInterface() throws IOException {
    List<String> lines = Files.readAllLines(MODULE);
    assertTrue(lines.stream().filter(line -> !line.isBlank()).count() <= 1200);
    for (String line : lines) {
      assertTrue(line.length() <= 110, line);
    }
    assertTrue(lines.stream().limit(20).anyMatch(line -> line.contains("Gateway.java")));
  }

  @Test
  void readmeExampleEqualsTheCompiledOne() throws IOException {
    String example =
        Files.readString(Path.of("src/test/java/nettletrail/decision/EmbeddingExample.java"));
    assertTrue(Files.readString(Path.of("../README.md")).contains(example.strip()));
    assertTrue(
        EmbeddingExample.run().equals(List.of("send 1 to 7")), EmbeddingExample.run().toString());
  }
}
