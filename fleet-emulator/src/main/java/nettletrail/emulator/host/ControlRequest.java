package nettletrail.emulator.host;

import nettletrail.emulator.simulation.Payload;
import nettletrail.protocol.Backend;

/** A call of an operator or a backend to a core process. */
public sealed interface ControlRequest extends Payload {
  /**
   * An operator's call.
   *
   * @param ifMatch the edition that it builds on; empty for GET
   * @param body the document; empty for GET
   */
  record Configuration(String method, String ifMatch, String body) implements ControlRequest {}

  /** A backend's call, PUT or DELETE. */
  record Registration(String method, Backend backend) implements ControlRequest {}
}
