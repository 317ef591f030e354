package nettletrail.protocol.link;

/** The step of a link's life at which a failure arose; named in errors and log lines. */
public enum LinkStep {
  /** Opening a connection. */
  DIAL,
  /** Accepting a connection. */
  ACCEPT,
  /** The first frame each way. */
  HELLO,
  /** Cutting the byte stream into frames. */
  FRAME,
  /** Reading a frame as an envelope. */
  DECODE,
  /** Writing an envelope as a frame. */
  ENCODE,
  /** Handing a message to the listener. */
  DELIVER,
  /** Buffering what the peer has not read yet. */
  BUFFER,
  /** Waiting for any sign of the peer. */
  LIVENESS,
  /** Reading from or writing to the socket. */
  TRANSFER,
  /** A newer link of the same peer has taken over. */
  REPLACE,
  /** Closing on request of this process. */
  CLOSE
}
