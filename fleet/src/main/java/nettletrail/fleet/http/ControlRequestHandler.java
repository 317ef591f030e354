package nettletrail.fleet.http;

import nettletrail.protocol.Backend;

/**
 * Receives the requests that a {@link ControlServer} has parsed. All methods are called on its
 * event loop and must not block. Each call may be answered once, at any later time on that event
 * loop, by {@link ControlServer#answer} or {@link ControlServer#redirect}.
 */
public interface ControlRequestHandler {
  /** The call sequence of a DELETE without one: above all that a backend sends. */
  long FINAL_CALL_SEQUENCE = Long.MAX_VALUE;

  /**
   * A backend registers, renews or removes itself.
   *
   * @param call the number to answer with
   * @param method PUT or DELETE
   * @param backend the backend's registration; for DELETE only its id, the state GONE and the call
   *     sequence are set
   */
  void backend(long call, String method, Backend backend);

  /**
   * An operator reads or changes the configuration.
   *
   * @param call the number to answer with
   * @param method GET, PUT or PATCH
   * @param ifMatch the edition that the change builds on, without quotes; empty if there is none
   * @param body the document or the patch; empty for GET
   */
  void configuration(long call, String method, String ifMatch, byte[] body);

  /**
   * An operator reads this process's state.
   *
   * @param call the number to answer with
   * @param resource the name of what is read, as {@code doors} or {@code quota/TENANT}
   */
  void status(long call, String resource);
}
