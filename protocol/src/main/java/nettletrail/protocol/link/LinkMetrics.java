package nettletrail.protocol.link;

/**
 * Counts the messages on the links of a process. Called on the event loop, so implementations must
 * not block. A kind is the name of the message's Avro record, which is a label of metrics.
 */
public interface LinkMetrics {
  /** Counts nothing. */
  LinkMetrics NONE =
      new LinkMetrics() {
        @Override
        public void sent(String kind, int bytes) {}

        @Override
        public void received(String kind, int bytes, long nanos) {}
      };

  /**
   * A message was passed to the connection.
   *
   * @param bytes the size of the frame with its length field
   */
  void sent(String kind, int bytes);

  /**
   * A message was decoded and handled.
   *
   * @param bytes the size of the frame with its length field
   * @param nanos how long decoding and handling kept the event loop busy, in nanoseconds
   */
  void received(String kind, int bytes, long nanos);
}
