package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares a form that other programs or people rely on with its approved text. What was found is
 * left in the build's folder, from where an intended change is reviewed and copied.
 */
public final class ApprovedForm {
  private static final Path APPROVED = Path.of("src", "test", "resources", "outer-forms");
  private static final Path RECEIVED = Path.of("target", "outer-forms");

  private ApprovedForm() {}

  /** Fails if the text isn't the approved one of that name. */
  public static void verify(String name, Iterable<String> lines) throws IOException {
    String received = String.join("\n", lines) + "\n";
    Files.createDirectories(RECEIVED);
    Files.writeString(RECEIVED.resolve(name), received);
    Path approved = APPROVED.resolve(name);
    String expected = Files.exists(approved) ? Files.readString(approved) : "";
    assertEquals(expected, received, name);
  }
}
