package nettletrail.emulator.host;

import java.util.Set;
import nettletrail.emulator.simulation.Payload;

/** A core process's answer: an HTTP status and a body. */
public record ControlResponse(int status, String body) implements Payload {
  /** The call was accepted. */
  public static final int OK = 200;

  /** Another edition is current. */
  public static final int PRECONDITION_FAILED = 412;

  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final Set<Integer> SEND_AGAIN = Set.of(408, 421, 429);

  /**
   * True for a status that ends an order as invalid: a client error other than those that ask to
   * send it again.
   */
  public static boolean isPermanentRejection(int status) {
    boolean clientError = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
    return clientError && !SEND_AGAIN.contains(status);
  }
}
