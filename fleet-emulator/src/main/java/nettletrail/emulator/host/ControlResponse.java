package nettletrail.emulator.host;

import nettletrail.emulator.world.Payload;

/** A core process's answer: an HTTP status and a body. */
public record ControlResponse(int status, String body) implements Payload {
  /** The call was taken. */
  public static final int OK = 200;

  /** Another edition is current. */
  public static final int PRECONDITION_FAILED = 412;
}
