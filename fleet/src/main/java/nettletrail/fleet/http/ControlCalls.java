package nettletrail.fleet.http;

import nettletrail.protocol.Backend;

/**
 * Takes the calls that a {@link ControlServer} has parsed; all come on its event loop. Each is
 * answered later, or never, by {@link ControlServer#answer}.
 */
public interface ControlCalls {
  /** The call sequence of a DELETE that names none: above all that a backend sends. */
  long FINAL_CALL_SEQUENCE = Long.MAX_VALUE;

  /**
   * A backend registers, renews or removes itself.
   *
   * @param call number to answer with
   * @param method PUT or DELETE
   * @param backend what it says; for DELETE only the id, the state GONE and the call sequence are
   *     set
   */
  void backend(long call, String method, Backend backend);

  /**
   * The operator writes or reads the configuration.
   *
   * @param call number to answer with
   * @param method PUT, PATCH or GET
   * @param ifMatch the edition that the change builds on, without quotes; empty if none is named
   * @param body the document or the patch; empty for GET
   */
  void configuration(long call, String method, String ifMatch, byte[] body);

  /**
   * An operator asks about this process's state; changes nothing.
   *
   * @param call number to answer with
   * @param resource what is asked for, as {@code doors} or {@code quota/TENANT}
   */
  void status(long call, String resource);
}
