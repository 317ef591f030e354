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
import java.util.function.Consumer;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Line;

/**
 * Posts batches and reads what the receiver says. Nothing decided; answers come on a thread of the
 * client.
 */
public final class ExportClient {
  /** What the receiver said. */
  public sealed interface Answer {}

  /** It has all up to there. */
  public record Has(long end) implements Answer {}

  /** Nothing, or to come again. */
  public record Later(long retryAfterNs) implements Answer {}

  /** It will never take it. */
  public record Never(String why) implements Answer {}

  private static final int MOST_ANSWER = 4_096;
  private static final long SECOND = 1_000_000_000L;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final URI receiver;
  private final Duration timeout;

  public ExportClient(URI receiver, Duration timeout) {
    this.receiver = receiver;
    this.timeout = timeout;
  }

  /**
   * @param told once, on any thread
   */
  public void post(String ledger, Batch batch, List<Line> lines, Consumer<Answer> told) {
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
        .whenComplete((answer, fault) -> told.accept(fault == null ? read(answer) : new Later(0)));
  }

  /** An answer that doesn't tell its length, or a long one, is not read. */
  private static HttpResponse.BodySubscriber<String> bounded(HttpResponse.ResponseInfo head) {
    long length = head.headers().firstValueAsLong("Content-Length").orElse(-1);
    return length >= 0 && length <= MOST_ANSWER
        ? HttpResponse.BodySubscribers.ofString(StandardCharsets.UTF_8)
        : HttpResponse.BodySubscribers.replacing("");
  }

  private static Answer read(HttpResponse<String> answer) {
    int status = answer.statusCode();
    if (status == 200 || status == 409) {
      try {
        Map<String, Object> body = JSON.std.mapFrom(answer.body());
        // What doesn't say how far it has come acknowledges nothing.
        return body.get("end") instanceof Number end && end.longValue() >= 0
            ? new Has(end.longValue())
            : new Later(0);
      } catch (IOException e) {
        return new Later(0);
      }
    }
    if (status == 400 || status == 413 || status == 422) {
      String said = answer.body().length() > 200 ? answer.body().substring(0, 200) : answer.body();
      return new Never(status + " " + said.replaceAll("[^\\x20-\\x7e]", " ").strip());
    }
    return new Later(
        answer.headers().firstValue("Retry-After").map(ExportClient::seconds).orElse(0L));
  }

  private static long seconds(String text) {
    return text.matches("\\d{1,6}") ? Long.parseLong(text) * SECOND : 0;
  }
}
