package nettletrail.fleet.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import nettletrail.fleet.settings.FleetSettings;
import org.junit.jupiter.api.Test;

/** No class of the daemons refers to the operators' command line, so that they never load it. */
class LayoutTest {
  private static final String CLIENT_PACKAGE = "nettletrail/fleet/cli/";
  private static final String PARSER_PACKAGE = "com/github/rvesse/airline/";
  private static final String ENTRY_CLASS = "nettletrail/fleet/Main.class";

  private static Path classes() throws URISyntaxException {
    return Path.of(FleetSettings.class.getProtectionDomain().getCodeSource().getLocation().toURI());
  }

  private static boolean refersTo(Path classFile, String packageName) throws IOException {
    String constants = new String(Files.readAllBytes(classFile), StandardCharsets.ISO_8859_1);
    return constants.contains(packageName);
  }

  @Test
  void onlyTheEntryClassRefersToTheCommandLine() throws Exception {
    Path root = classes();
    List<Path> daemonClasses;
    try (Stream<Path> files = Files.walk(root)) {
      daemonClasses =
          files
              .filter(file -> file.toString().endsWith(".class"))
              .filter(file -> !root.relativize(file).startsWith(CLIENT_PACKAGE))
              .filter(file -> !root.relativize(file).endsWith(ENTRY_CLASS))
              .toList();
    }
    assertTrue(daemonClasses.size() > 10);
    for (Path file : daemonClasses) {
      assertFalse(refersTo(file, CLIENT_PACKAGE), file.toString());
      assertFalse(refersTo(file, PARSER_PACKAGE), file.toString());
    }
  }
}
