package nettletrail.fleet.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/**
 * Activates a stored document as a new edition that builds on the current one, since an edition
 * number is never used twice.
 */
final class ConfigurationRestorer {
  private final CoreClient client;
  private final byte[] document;
  private final String origin;

  /**
   * Prepares the restoration; sends nothing.
   *
   * @param document the configuration, as JSON
   * @param origin where the document is from, for errors
   */
  ConfigurationRestorer(CoreClient client, byte[] document, String origin) {
    this.client = client;
    this.document = document;
    this.origin = origin;
  }

  /** Compares the document with the current configuration; changes nothing. */
  RestoreResult preview() throws CommandException {
    long current = currentEdition();
    byte[] renumbered = renumbered(current + 1);
    return new RestoreResult(current, changes(current, renumbered), "nothing, this is a dry run");
  }

  /** Replaces the current configuration by the document. */
  RestoreResult restore() throws CommandException {
    long current = currentEdition();
    byte[] renumbered = renumbered(current + 1);
    List<ItemChange> changes = changes(current, renumbered);
    CoreResponse response =
        client.changeConfiguration("PUT", Long.toString(current), renumbered).requireSuccess();
    String action = "edition " + (current + 1) + ", taken by " + response.core();
    return new RestoreResult(current, changes, action);
  }

  private long currentEdition() throws CommandException {
    return Long.parseLong(ChangeOptions.currentEdition(client));
  }

  private byte[] renumbered(long edition) throws CommandException {
    try {
      byte[] patch = ("{\"edition\":" + edition + "}").getBytes(StandardCharsets.UTF_8);
      ConfigurationDocument renumbered = ConfigurationDocument.parse(document).patched(patch);
      renumbered.requireValidAfter(edition - 1);
      return renumbered.json();
    } catch (ConfigurationException failure) {
      throw new CommandException(
          ExitCode.DIFFERENT, CommandStep.CHECK, origin, failure.getMessage(), failure);
    }
  }

  private List<ItemChange> changes(long current, byte[] renumbered) throws CommandException {
    if (current == 0) {
      return List.of();
    }
    return ConfigurationDiff.between(client.readConfiguration().requireSuccess(), renumbered);
  }
}
