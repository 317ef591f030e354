package nettletrail.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import nettletrail.router.stream.EventParser;
import nettletrail.router.upstream.ResponseFraming;

/**
 * An event stream that is relayed event by event. Where the route allows it, another backend
 * resumes the stream inside the same response: the head is that of the first backend, and of the
 * next one only the events that follow the last relayed one without a gap are relayed.
 */
final class EventStreamResponse implements ResponseRelay, EventParser.Sink {
  private static final long NO_ID = -1;

  private final ClientResponder client;
  private final boolean resumable;
  private final EventParser parser;
  private final HttpResponse head;

  /** Id of the last event that the client has, or {@link #NO_ID}. */
  private long lastId;

  /** The backend's current response has no length: it ends with the backend's connection. */
  private boolean endsWithConnection;

  private boolean resumed;
  private boolean invalid;
  private long events;

  /**
   * @param head of the first backend's response
   * @param resumable whether another backend may continue the stream
   * @param lastId of the event that the client has already, or -1
   */
  EventStreamResponse(ClientResponder client, HttpResponse head, boolean resumable, long lastId) {
    this.client = client;
    this.head = head;
    this.resumable = resumable;
    this.lastId = lastId;
    parser = new EventParser(client.allocator());
    endsWithConnection = endsWithConnection(head);
  }

  /**
   * Another backend resumes the stream.
   *
   * @param next head of that backend's response
   */
  void resume(HttpResponse next) {
    parser.close();
    endsWithConnection = endsWithConnection(next);
    resumed = true;
    invalid = false;
  }

  private static boolean endsWithConnection(HttpResponse response) {
    return ResponseFraming.of(response, false) == ResponseFraming.UNTIL_CLOSE;
  }

  /**
   * Whether the response ended inside an event, where only the end of the connection marks its end:
   * then the backend's response is truncated.
   */
  boolean isTruncated() {
    return endsWithConnection && parser.incompleteEvent() != null;
  }

  /**
   * Whether the backend skipped an event or sent one that is too large: the rest is not relayed.
   */
  boolean isInvalid() {
    return invalid;
  }

  @Override
  public void content(ByteBuf content) {
    invalid |= !parser.read(content, this);
  }

  @Override
  public void onEvent(long id, ByteBuf source, int from, int length) {
    if (invalid || resumed && !isNext(id)) {
      return;
    }
    if (id >= 0) {
      lastId = id;
    }
    events++;
    begin();
    client.addToStream(source, from, length);
  }

  /** Whether the event follows the last one; a higher id means that events are missing. */
  private boolean isNext(long id) {
    if (lastId == NO_ID) {
      return id >= 0;
    }
    invalid |= id > lastId + 1;
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

  /** The backend's stream is complete: completes the response. */
  void end() {
    begin();
    ByteBuf rest = parser.incompleteEvent();
    if (rest != null && !resumed) {
      client.addToStream(rest, rest.readerIndex(), rest.readableBytes());
    }
    client.endStream();
  }

  @Override
  public long resumeAfter() {
    return resumable ? lastId : NO_ID;
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
  public void release() {
    parser.close();
  }
}
