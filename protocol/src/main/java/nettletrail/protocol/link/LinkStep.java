package nettletrail.protocol.link;

/**
 * The step at which a link failed or ended. The names stand in errors and log lines, and operators
 * search for them.
 */
public enum LinkStep {
  /** Opening a connection. */
  DIAL,
  /** Accepting a connection. */
  ACCEPT,
  /** The handshake: the first frame in each direction. */
  HELLO,
  /** Splitting the byte stream into frames. */
  FRAME,
  /** Reading a frame as an envelope. */
  DECODE,
  /** Writing an envelope as a frame. */
  ENCODE,
  /** Passing a message to the listener. */
  DELIVER,
  /** Buffering frames that the peer has not read yet. */
  BUFFER,
  /** Waiting for any message of the peer: idle timeout. */
  LIVENESS,
  /** Reading from or writing to the socket. */
  TRANSFER,
  /** Replacing a link by a newer one of the same peer. */
  REPLACE,
  /** Closing on request of this process. */
  CLOSE
}
