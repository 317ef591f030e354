package nettletrail.control.shard;

/**
 * Reads and checks documents for the configuration register. Pure; called by the thread of {@link
 * CoreShards}.
 */
public interface ConfigurationRules {

  /** A checked document: its edition and its JSON. */
  record CheckedDocument(long edition, byte[] json) {}

  /** Checks a complete document that should replace the one of the edition given. */
  CheckedDocument replacement(byte[] body, long currentEdition)
      throws InvalidConfigurationException;

  /** Applies a patch to the current document, of the edition given, and checks the result. */
  CheckedDocument patched(byte[] document, byte[] patch, long currentEdition)
      throws InvalidConfigurationException;
}
