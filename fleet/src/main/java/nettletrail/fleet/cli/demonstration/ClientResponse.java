package nettletrail.fleet.cli.demonstration;

import java.util.List;
import java.util.Map;

/**
 * What a client received for one attempt of a request.
 *
 * @param status HTTP status; 0 if no response head was received
 * @param headers values by name in lower case
 * @param firstEventAt when the first byte of the body was received: steady clock, nanoseconds; 0 if
 *     none was
 * @param eventIds the ids of the received events, in their order
 * @param complete whether the response was received completely
 * @param connected whether a connection was established
 */
record ClientResponse(
    int status,
    Map<String, String> headers,
    long firstEventAt,
    List<Integer> eventIds,
    boolean complete,
    boolean connected) {

  /** No connection was established. */
  static ClientResponse notConnected() {
    return new ClientResponse(0, Map.of(), 0, List.of(), false, false);
  }
}
