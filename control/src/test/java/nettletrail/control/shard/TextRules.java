package nettletrail.control.shard;

import java.nio.charset.StandardCharsets;

/** Documents of tests: {@code EDITION text}; a patch {@code EDITION text} appends its text. */
final class TextRules implements ConfigurationRules {

  @Override
  public CheckedDocument replacement(byte[] body, long currentEdition)
      throws InvalidConfigurationException {
    String document = new String(body, StandardCharsets.UTF_8);
    long edition = editionOf(document);
    if (edition <= currentEdition) {
      throw new InvalidConfigurationException("edition is not above the current one", null);
    }
    return new CheckedDocument(edition, body);
  }

  @Override
  public CheckedDocument patched(byte[] document, byte[] patch, long currentEdition)
      throws InvalidConfigurationException {
    String patchText = new String(patch, StandardCharsets.UTF_8);
    String current = new String(document, StandardCharsets.UTF_8);
    long edition = editionOf(patchText);
    String kept = current.substring(current.indexOf(' '));
    String added = patchText.substring(patchText.indexOf(' '));
    byte[] merged = (edition + kept + added).getBytes(StandardCharsets.UTF_8);
    return replacement(merged, currentEdition);
  }

  static long editionOf(String document) throws InvalidConfigurationException {
    int space = document.indexOf(' ');
    try {
      return Long.parseLong(document.substring(0, space));
    } catch (IndexOutOfBoundsException | NumberFormatException malformed) {
      throw new InvalidConfigurationException("no edition", malformed);
    }
  }
}
