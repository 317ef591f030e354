package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.nio.charset.StandardCharsets;

/**
 * A definite response of a core: one that a retry would not change.
 *
 * @param core the address of the core that responded
 * @param status HTTP status
 * @param body the body as received; not copied
 */
public record CoreResponse(String core, int status, byte[] body) {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  /** Whether the core accepted the request. */
  public boolean isSuccess() {
    return status == OK;
  }

  /** Whether what was requested does not exist. */
  boolean isNotFound() {
    return status == NOT_FOUND;
  }

  /**
   * This response, if the core accepted the request.
   *
   * @throws CommandException if it rejected the request
   */
  CoreResponse requireSuccess() throws CommandException {
    if (!isSuccess()) {
      throw rejection();
    }
    return this;
  }

  /** The status and the core's error message, or the body's text if there is no such message. */
  public String reason() {
    String text = new String(body, StandardCharsets.UTF_8).strip();
    try {
      Any error = JsonIterator.deserialize(body).get("error");
      return status + " " + (error.valueType() == ValueType.STRING ? error.toString() : text);
    } catch (JsonException | IndexOutOfBoundsException notJson) {
      return status + " " + text;
    }
  }

  /** The error for a response that rejects the request. */
  CommandException rejection() {
    return new CommandException(ExitCode.REFUSED, CommandStep.CALL, core, reason());
  }

  /** The error for a successful response with an unusable body. */
  CommandException malformed(String reason, Throwable cause) {
    return new CommandException(ExitCode.NO_CLEAR_ANSWER, CommandStep.CALL, core, reason, cause);
  }
}
