package nettletrail.protocol.link;

/**
 * Is told of every message on the links of a process; called on the event loop, so it must be
 * quick. A kind is the name of the message's schema.
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

  /** A message was handed to the connection; {@code bytes} with its length field. */
  void sent(String kind, int bytes);

  /**
   * A message was read and handled.
   *
   * @param bytes with its length field
   * @param nanos how long it kept the thread busy, what it caused in the same turn included
   */
  void received(String kind, int bytes, long nanos);
}
