package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import nettletrail.protocol.Backend;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;

/**
 * The reports that one other core process hasn't acknowledged yet, as Dynamo's hinted handoff: the
 * newest report of each backend, bounded in count, retried with exponential backoff and at once
 * when the peer is connected again. Not thread-safe; instants are steady nanoseconds.
 */
public final class HintedHandoff {
  private static final long MILLIS = 1_000_000L;
  private static final long INITIAL_BACKOFF_NANOS = 200 * MILLIS;
  private static final long MAX_BACKOFF_NANOS = 3_000 * MILLIS;
  private static final int MAX_HINTS = 4_096;
  private static final int MAX_HINTS_IN_UPDATE = 256;
  private static final long UNSENT = 0;

  private final String sender;
  private final LongSupplier updateNumbers;
  private final Map<String, Hint> hints = new LinkedHashMap<>();
  private long backoffNanos = INITIAL_BACKOFF_NANOS;
  private long retryAt;

  private static final class Hint {
    final Backend backend;

    /** The number of the last update with this hint. */
    long lastUpdate = UNSENT;

    Hint(Backend backend) {
      this.backend = backend;
    }
  }

  /**
   * Stores nothing yet.
   *
   * @param sender this process's address
   * @param updateNumbers gives each update its number, above 0; never one twice, in this
   *     incarnation or another
   */
  public HintedHandoff(String sender, LongSupplier updateNumbers) {
    this.sender = sender;
    this.updateNumbers = updateNumbers;
  }

  /**
   * Stores a report until it is acknowledged; the oldest one is dropped when there are too many.
   */
  public void add(Backend backend) {
    hints.remove(backend.getId());
    hints.put(backend.getId(), new Hint(backend));
    if (hints.size() > MAX_HINTS) {
      hints.remove(hints.keySet().iterator().next());
    }
  }

  /** An update of the oldest reports that were never sent; empty if there are none. */
  public Optional<RegistryUpdate> firstAttempt(long now) {
    List<Hint> batch =
        hints.values().stream()
            .filter(hint -> hint.lastUpdate == UNSENT)
            .limit(MAX_HINTS_IN_UPDATE)
            .toList();
    return batch.isEmpty() ? Optional.empty() : Optional.of(update(batch, now));
  }

  /** An update of the oldest reports, sent before or not; empty during the backoff. */
  public Optional<RegistryUpdate> retry(long now) {
    if (hints.isEmpty() || now - retryAt < 0) {
      return Optional.empty();
    }
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    return Optional.of(update(hints.values().stream().limit(MAX_HINTS_IN_UPDATE).toList(), now));
  }

  /** The peer is connected again: the backoff ends and starts anew. */
  public void retryNow(long now) {
    backoffNanos = INITIAL_BACKOFF_NANOS;
    retryAt = now;
  }

  /** Drops and returns the reports whose last update the peer acknowledged. */
  public List<Backend> acknowledged(RegistryUpdateReply reply) {
    List<Backend> acknowledged = new ArrayList<>();
    hints
        .values()
        .removeIf(
            hint -> {
              boolean covered = hint.lastUpdate != UNSENT && hint.lastUpdate == reply.getUpdate();
              if (covered) {
                acknowledged.add(hint.backend);
              }
              return covered;
            });
    if (!acknowledged.isEmpty()) {
      backoffNanos = INITIAL_BACKOFF_NANOS;
    }
    return acknowledged;
  }

  /** How many reports aren't acknowledged. */
  public int size() {
    return hints.size();
  }

  private RegistryUpdate update(List<Hint> batch, long now) {
    long number = updateNumbers.getAsLong();
    batch.forEach(hint -> hint.lastUpdate = number);
    retryAt = now + backoffNanos;
    List<Backend> backends = batch.stream().map(hint -> hint.backend).toList();
    return new RegistryUpdate(sender, number, backends);
  }
}
