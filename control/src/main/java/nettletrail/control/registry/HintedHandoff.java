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
 * What one other core process hasn't acknowledged yet: the newest report for each backend, bounded,
 * sent again with a growing pause and as soon as the peer is back.
 */
public final class HintedHandoff {
  private static final long MILLIS = 1_000_000L;
  private static final long FIRST_PAUSE = 200 * MILLIS;
  private static final long LONGEST_PAUSE = 3_000 * MILLIS;
  private static final int MAX_HINTS = 4_096;
  private static final int MAX_IN_UPDATE = 256;
  private static final long UNSENT = 0;

  private final String sender;
  private final LongSupplier updateNumbers;
  private final Map<String, Hint> hints = new LinkedHashMap<>();
  private long pause = FIRST_PAUSE;
  private long resendAt;

  private static final class Hint {
    final Backend backend;
    long sentIn = UNSENT;

    Hint(Backend backend) {
      this.backend = backend;
    }
  }

  /**
   * Holds nothing yet.
   *
   * @param sender the address that this process goes by
   * @param updateNumbers gives each update its number; none twice, in this life or another
   */
  public HintedHandoff(String sender, LongSupplier updateNumbers) {
    this.sender = sender;
    this.updateNumbers = updateNumbers;
  }

  /** Keeps a report until it is acknowledged; the oldest one leaves when there are too many. */
  public void keep(Backend backend) {
    hints.remove(backend.getId());
    hints.put(backend.getId(), new Hint(backend));
    if (hints.size() > MAX_HINTS) {
      hints.remove(hints.keySet().iterator().next());
    }
  }

  /** The reports that were never sent, as one message. */
  public Optional<RegistryUpdate> unsent(long now) {
    return update(now, false);
  }

  /** What has to be sent again by now, as one message. */
  public Optional<RegistryUpdate> due(long now) {
    if (hints.isEmpty() || now - resendAt < 0) {
      return Optional.empty();
    }
    pause = Math.min(LONGEST_PAUSE, 2 * pause);
    return update(now, true);
  }

  /** The peer is back: everything is due at once. */
  public void peerIsBack(long now) {
    pause = FIRST_PAUSE;
    resendAt = now;
  }

  /** Drops what the peer acknowledged and returns it. */
  public List<Backend> acknowledged(RegistryUpdateReply reply) {
    List<Backend> acknowledged = new ArrayList<>();
    hints
        .values()
        .removeIf(
            hint -> {
              boolean mine = hint.sentIn != UNSENT && hint.sentIn == reply.getUpdate();
              if (mine) {
                acknowledged.add(hint.backend);
              }
              return mine;
            });
    if (!acknowledged.isEmpty()) {
      pause = FIRST_PAUSE;
    }
    return acknowledged;
  }

  /** How many reports wait for an acknowledgement. */
  public int size() {
    return hints.size();
  }

  private Optional<RegistryUpdate> update(long now, boolean again) {
    List<Hint> batch =
        hints.values().stream()
            .filter(hint -> again || hint.sentIn == UNSENT)
            .limit(MAX_IN_UPDATE)
            .toList();
    if (batch.isEmpty()) {
      return Optional.empty();
    }
    long number = updateNumbers.getAsLong();
    batch.forEach(hint -> hint.sentIn = number);
    resendAt = now + pause;
    List<Backend> backends = batch.stream().map(hint -> hint.backend).toList();
    return Optional.of(new RegistryUpdate(sender, number, backends));
  }
}
