package nettletrail.configuration;

import nettletrail.configuration.ConfigurationException.Step;

/**
 * One edition of the operator's configuration: its JSON text and what was read from it.
 *
 * <p>Immutable and safe for use by several threads. The byte arrays passed in and handed out are
 * not copied; nobody may change them.
 */
public final class ConfigurationDocument {
  private static final String SOURCE_NAME = "document";

  private final byte[] json;
  private final ConfigurationModel model;

  private ConfigurationDocument(byte[] json, ConfigurationModel model) {
    this.json = json;
    this.model = model;
  }

  /**
   * Reads a document. The rules between items are not checked here, see {@link #requireValidAfter}.
   *
   * @throws ConfigurationException if the text is not one whole JSON object, a required field is
   *     missing, a field has the wrong type, or a tenant lists a key twice
   */
  public static ConfigurationDocument parse(byte[] json) throws ConfigurationException {
    return new ConfigurationDocument(json, ModelReader.read(JsonParser.parse(json, SOURCE_NAME)));
  }

  /** The number of this edition. */
  public long edition() {
    return model.edition();
  }

  /** The text: as parsed, or as made by a patch. */
  public byte[] json() {
    return json;
  }

  /**
   * The document that a patch makes of this one. Items that the patch does not name keep their
   * bytes.
   *
   * @param patch an object with {@code edition}, {@code deliver} and {@code withdraw}
   * @throws ConfigurationException if the patch or its outcome is not readable; the outcome still
   *     has to be checked with {@link #requireValidAfter}
   */
  public ConfigurationDocument patched(byte[] patch) throws ConfigurationException {
    return parse(DocumentPatch.parse(patch).applyTo(JsonParser.parse(json, SOURCE_NAME)));
  }

  /**
   * Checks that this document may follow an edition.
   *
   * @param currentEdition the edition in force; 0 if there is none
   * @throws ConfigurationException naming the first rule that is broken
   */
  public void requireValidAfter(long currentEdition) throws ConfigurationException {
    if (edition() <= currentEdition) {
      throw new ConfigurationException(
          Step.VALIDATE, "edition", edition() + " is not above " + currentEdition);
    }
    ModelValidator.requireValid(model);
  }

  ConfigurationModel model() {
    return model;
  }
}
