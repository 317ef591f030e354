package nettletrail.fleet;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import nettletrail.protocol.link.LinkMetrics;

/**
 * The figures that a process tells of itself: messages, bytes and handling time on its links by
 * kind of message. Counted and read on the event loop.
 */
final class ProcessMetrics implements LinkMetrics {
  private static final double NANOS_A_SECOND = 1e9;
  private static final String SENT = "sent";
  private static final String RECEIVED = "received";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
  private final Counter messages =
      Counter.builder()
          .name("nettletrail_link_messages_total")
          .help("Messages on links between processes.")
          .labelNames("kind", "direction")
          .register(registry);
  private final Counter bytes =
      Counter.builder()
          .name("nettletrail_link_bytes_total")
          .help("Bytes of messages on links between processes, without TCP's.")
          .labelNames("kind", "direction")
          .register(registry);
  private final Counter handling =
      Counter.builder()
          .name("nettletrail_link_handling_seconds_total")
          .help("Time that messages kept the event loop busy, with what they caused in its turn.")
          .labelNames("kind")
          .register(registry);
  private final Map<String, Traffic> sentByKind = new HashMap<>();
  private final Map<String, Traffic> receivedByKind = new HashMap<>();
  private final Map<String, CounterDataPoint> handlingByKind = new HashMap<>();

  /** The counters of one kind in one direction. */
  private record Traffic(CounterDataPoint messages, CounterDataPoint bytes) {
    void add(int size) {
      messages.inc();
      bytes.inc(size);
    }
  }

  @Override
  public void sent(String kind, int size) {
    sentByKind.computeIfAbsent(kind, unseen -> traffic(kind, SENT)).add(size);
  }

  @Override
  public void received(String kind, int size, long nanos) {
    receivedByKind.computeIfAbsent(kind, unseen -> traffic(kind, RECEIVED)).add(size);
    handlingByKind.computeIfAbsent(kind, handling::labelValues).inc(nanos / NANOS_A_SECOND);
  }

  /** All figures in the text format of Prometheus. */
  byte[] text() throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    writer.write(text, registry.scrape());
    return text.toByteArray();
  }

  /** What the format is called in an answer. */
  String contentType() {
    return writer.getContentType();
  }

  private Traffic traffic(String kind, String direction) {
    return new Traffic(messages.labelValues(kind, direction), bytes.labelValues(kind, direction));
  }
}
