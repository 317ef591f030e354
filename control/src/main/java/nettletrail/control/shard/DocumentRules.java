package nettletrail.control.shard;

import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/**
 * The rules of module {@code configuration} for operators' documents. Each document is parsed with
 * the one before at hand, since most changes are small. For one thread.
 */
public final class DocumentRules implements ConfigurationRules {
  private ConfigurationDocument newest;

  @Override
  public CheckedDocument replacement(byte[] body, long currentEdition)
      throws InvalidConfigurationException {
    try {
      newest = ConfigurationDocument.parse(body, newest);
      return checked(newest, currentEdition);
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
