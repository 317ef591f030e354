package nettletrail.control.shard;

import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/** The rules of the operator's documents, as module {@code configuration} has them. */
public final class DocumentRules implements ConfigurationRules {

  @Override
  public CheckedDocument replacement(byte[] body, long currentEdition)
      throws InvalidConfigurationException {
    try {
      return checked(ConfigurationDocument.parse(body), currentEdition);
    } catch (ConfigurationException invalid) {
      throw new InvalidConfigurationException(invalid.getMessage(), invalid);
    }
  }

  @Override
  public CheckedDocument patched(byte[] document, byte[] patch, long currentEdition)
      throws InvalidConfigurationException {
    try {
      ConfigurationDocument current = ConfigurationDocument.parse(document);
      return checked(current.patched(patch), currentEdition);
    } catch (ConfigurationException invalid) {
      throw new InvalidConfigurationException(invalid.getMessage(), invalid);
    }
  }

  private static CheckedDocument checked(ConfigurationDocument document, long currentEdition)
      throws ConfigurationException {
    document.requireValidAfter(currentEdition);
    return new CheckedDocument(document.edition(), document.json());
  }
}
