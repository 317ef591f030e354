package nettletrail.configuration;

/** Why a configuration or a patch was rejected: the step that failed, the place and the reason. */
public final class ConfigurationException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Step step;
  private final String location;

  /** The steps of accepting a configuration, in their order. */
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
   * A failure without an underlying exception.
   *
   * @param step the step that failed
   * @param location where in the document, for example {@code routes[3].timeout_ms} or {@code byte
   *     17}
   * @param reason what is wrong there
   */
  public ConfigurationException(Step step, String location, String reason) {
    this(step, location, reason, null);
  }

  /** A failure with the exception that caused it; {@code cause} may be null. */
  public ConfigurationException(Step step, String location, String reason, Throwable cause) {
    super(step + " at " + location + ": " + reason, cause);
    this.step = step;
    this.location = location;
  }

  /** The step that failed. */
  public Step step() {
    return step;
  }

  /** The place in the document at which it failed. */
  public String location() {
    return location;
  }
}
