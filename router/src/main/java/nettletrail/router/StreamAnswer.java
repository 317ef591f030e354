package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.router.stream.EventParser;
import nettletrail.router.upstream.AnswerFraming;

/**
 * An event stream that is passed on event by event. Where the route allows it, the stream is taken
 * up at another backend inside the same answer: the head stays that of the first backend, and of
 * the new one only the events that follow the last one without a gap are passed on.
 */
final class StreamAnswer implements AnswerRelay, EventParser.Sink {
  private static final long UNKNOWN = -1;

  private final ClientConnection client;
  private final boolean resumable;
  private final EventParser parser;
  private final HttpResponse head;

  /** The last event that the client has; {@link #UNKNOWN} if it has none. */
  private long lastId;

  /** The answer in hand has no length: its end is that of the backend's connection. */
  private boolean endsWithConnection;

  private boolean resumed;
  private boolean gap;
  private long events;

  /**
   * @param lastId the event that the client has already, or -1
   */
  StreamAnswer(
      ClientConnection client,
      HttpResponse head,
      boolean resumable,
      long lastId,
      ByteBufAllocator allocator) {
    this.client = client;
    this.head = head;
    this.resumable = resumable;
    this.lastId = lastId;
    parser = new EventParser(allocator);
    endsWithConnection = endsWithConnection(head);
  }

  /**
   * The answer goes on with what another backend sends.
   *
   * @param next the head of that backend's answer
   */
  void resumeWithNextBackend(HttpResponse next) {
    parser.close();
    endsWithConnection = endsWithConnection(next);
    resumed = true;
    gap = false;
  }

  private static boolean endsWithConnection(HttpResponse answer) {
    return AnswerFraming.of(answer, false) == AnswerFraming.UNTIL_CLOSE;
  }

  /**
   * Whether the end of the connection, which is all that tells the end of the answer, has come in
   * the middle of an event: the backend broke off.
   */
  boolean isCutInsideEvent() {
    return endsWithConnection && parser.incompleteEvent() != null;
  }

  /** Whether the backend left out an event: nothing of it may be passed on after that. */
  boolean hasGap() {
    return gap;
  }

  @Override
  public void content(ByteBuf content) {
    gap |= !parser.read(content, this);
  }

  @Override
  public void onEvent(long id, ByteBuf source, int from, int length) {
    if (gap || resumed && !follows(id)) {
      return;
    }
    if (id >= 0) {
      lastId = id;
    }
    events++;
    begin();
    client.streamBytes(source, from, length);
  }

  /**
   * Whether the event is the one that is due; one that is ahead of it means that another is
   * missing.
   */
  private boolean follows(long id) {
    if (lastId == UNKNOWN) {
      return id >= 0;
    }
    gap |= id > lastId + 1;
    return id == lastId + 1;
  }

  private void begin() {
    if (!client.isStreaming()) {
      client.beginStream(head);
    }
  }

  @Override
  public void flush() {
    client.flushStream();
  }

  /** The backend's stream is whole: so is the answer. */
  void end() {
    begin();
    ByteBuf rest = parser.incompleteEvent();
    if (rest != null && !resumed) {
      client.streamBytes(rest, rest.readerIndex(), rest.readableBytes());
    }
    client.endStream();
  }

  @Override
  public long resumeAfter() {
    return resumable ? lastId : UNKNOWN;
  }

  @Override
  public boolean hasBegun() {
    return client.isStreaming();
  }

  @Override
  public long events() {
    return events;
  }

  @Override
  public void drop() {
    parser.close();
  }
}
