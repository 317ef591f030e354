package nettletrail.plans.export;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Line;

/**
 * Posts batches and parses the receiver's responses; decides nothing. Responses arrive on a thread
 * of the HTTP client.
 */
public final class ExportClient {
  /** The outcome of an attempt. */
  public sealed interface Answer {}

  /** The receiver has everything up to this entry. */
  public record Acknowledged(long end) implements Answer {}

  /** No usable response, or a request to retry later; 0 for no stated time. */
  public record RetryLater(long retryAfterNs) implements Answer {}

  /** The receiver rejects the batch for good. */
  public record Rejected(String why) implements Answer {}

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final Set<Integer> REJECTING_STATUSES = Set.of(400, 413, 422);
  private static final int MAX_REASON_LENGTH = 200;
  private static final int MAX_ANSWER_BYTES = 4_096;
  private static final long SECOND = 1_000_000_000L;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final URI receiver;
  private final Duration timeout;

  /** Posts to this address, with a time-out for each response. */
  public ExportClient(URI receiver, Duration timeout) {
    this.receiver = receiver;
    this.timeout = timeout;
  }

  /**
   * Posts a batch.
   *
   * @param answered called once, on any thread
   */
  public void post(String ledger, Batch batch, List<Line> lines, Consumer<Answer> answered) {
    HttpRequest request;
    try {
      request =
          HttpRequest.newBuilder(receiver)
              .timeout(timeout)
              .header("Content-Type", CloudEventsBatch.TYPE)
              .header(CloudEventsBatch.LEDGER, ledger)
              .header(CloudEventsBatch.BATCH, batch.from() + "-" + batch.to())
              .header(CloudEventsBatch.BEFORE, Long.toString(batch.before()))
              .POST(HttpRequest.BodyPublishers.ofString(CloudEventsBatch.json(ledger, lines)))
              .build();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    client
        .sendAsync(request, ExportClient::bounded)
        .whenComplete(
            (answer, fault) -> answered.accept(fault == null ? read(answer) : new RetryLater(0)));
  }

  /** A response without a length, or a long one, is not read. */
  private static HttpResponse.BodySubscriber<String> bounded(HttpResponse.ResponseInfo head) {
    long length = head.headers().firstValueAsLong("Content-Length").orElse(-1);
    return length >= 0 && length <= MAX_ANSWER_BYTES
        ? HttpResponse.BodySubscribers.ofString(StandardCharsets.UTF_8)
        : HttpResponse.BodySubscribers.replacing("");
  }

  private static Answer read(HttpResponse<String> answer) {
    int status = answer.statusCode();
    if (status == OK || status == CONFLICT) {
      try {
        Map<String, Object> body = JSON.std.mapFrom(answer.body());
        // A response without an end acknowledges nothing.
        return body.get("end") instanceof Number end && end.longValue() >= 0
            ? new Acknowledged(end.longValue())
            : new RetryLater(0);
      } catch (IOException e) {
        return new RetryLater(0);
      }
    }
    if (REJECTING_STATUSES.contains(status)) {
      String body = answer.body();
      String said = body.substring(0, Math.min(MAX_REASON_LENGTH, body.length()));
      return new Rejected(status + " " + said.replaceAll("[^\\x20-\\x7e]", " ").strip());
    }
    return new RetryLater(
        answer.headers().firstValue("Retry-After").map(ExportClient::seconds).orElse(0L));
  }

  private static long seconds(String text) {
    return text.matches("\\d{1,6}") ? Long.parseLong(text) * SECOND : 0;
  }
}
