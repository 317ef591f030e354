package nettletrail.configuration;

/** Says why a configuration or a patch was not accepted: the step that failed and the place. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Step step;
  private final String place;

  /** The steps a configuration goes through, in their order. */
  public enum Step {
    /** Reading the JSON text: malformed, truncated, or followed by more bytes. */
    PARSE,
    /** Reading typed fields: a field is missing or has the wrong type. */
    READ_FIELDS,
    /** Applying a patch to a document. */
    PATCH,
    /** Checking the rules that hold between items. */
    VALIDATE
  }

  /**
   * Makes an exception.
   *
   * @param step the step that failed
   * @param place where in the document, for example {@code routes[3].timeout_ms} or {@code byte 17}
   * @param reason what is wrong there
   */
  public ConfigurationException(Step step, String place, String reason) {
    super(step + " at " + place + ": " + reason);
    this.step = step;
    this.place = place;
  }

  /** The step that failed. */
  public Step step() {
    return step;
  }

  /** The place in the document at which it failed. */
  public String place() {
    return place;
  }
}
