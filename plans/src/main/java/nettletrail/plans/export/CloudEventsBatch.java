package nettletrail.plans.export;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.plans.ledger.Line;

/**
 * A batch on the wire: CloudEvents 1.0, JSON batch format (sections 3 and 4), one event for each
 * line.
 */
public final class CloudEventsBatch {
  /** Content type of a batch. */
  public static final String TYPE = "application/cloudevents-batch+json";

  /** Header with the ledger: door and incarnation. */
  public static final String LEDGER = "X-Usage-Ledger";

  /** Header with the first and last entry. */
  public static final String BATCH = "X-Usage-Batch";

  /** Header with the end that the receiver must have reached before. */
  public static final String BEFORE = "X-Usage-Before";

  private static final String EVENT = "nettletrail.usage.line.v1";

  private CloudEventsBatch() {}

  /**
   * @param ledger door and life, as "n0/1a2b"
   */
  static String json(String ledger, List<Line> lines) throws IOException {
    List<Map<String, Object>> events = new ArrayList<>();
    for (Line line : lines) {
      Map<String, Object> data = new LinkedHashMap<>();
      data.put("kind", line.kind().name());
      data.put("request", String.format("%016x", line.request()));
      data.put("customer", String.format("%016x", line.customer()));
      data.put("plan", line.plan());
      data.put("plan_number", line.planNumber());
      data.put("class", line.requestClass());
      data.put("guess_milli", line.guessMilli());
      data.put("milli", line.milli());
      data.put("text", line.text());
      Map<String, Object> event = new LinkedHashMap<>();
      event.put("specversion", "1.0");
      // Source and id together identify a line.
      event.put("id", Long.toString(line.sequence()));
      event.put("source", "/nettletrail/usage/" + ledger);
      event.put("type", EVENT);
      event.put("time", Instant.ofEpochMilli(line.wallMs()).toString());
      event.put("datacontenttype", "application/json");
      event.put("data", data);
      events.add(event);
    }
    return JSON.std.asString(events);
  }
}
