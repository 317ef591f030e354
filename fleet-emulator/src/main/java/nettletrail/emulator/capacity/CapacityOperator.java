package nettletrail.emulator.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Sends configurations one after the other, each again to another core process until it is
 * acknowledged.
 */
final class CapacityOperator {
  private static final long RESEND = VirtualTime.SECOND;
  private static final long TRANSFER = 1_400_000;

  private final VirtualTime time;
  private final List<MeasuredCore> cores;
  private final CompiledConfigurations configurations;
  private final ControlDemand demand;
  private final int tenants;
  private final Map<Long, Long> editionOfCall = new HashMap<>();
  private long lastCall;
  private long edition;
  private int nextCore;

  CapacityOperator(FleetParts parts, List<MeasuredCore> cores, int tenants) {
    this.time = parts.time();
    this.configurations = parts.configurations();
    this.demand = parts.demand();
    this.cores = cores;
    this.tenants = tenants;
  }

  /** The edition sent last. */
  long edition() {
    return edition;
  }

  /** A core process answered a call with 200. */
  void acknowledged(long call) {
    Long made = editionOfCall.remove(call);
    if (made != null) {
      configurations.acknowledged(made);
    }
  }

  /** Sends the first configuration: all tenants, each with twice what it asks for on the mean. */
  void sendFirst() {
    edition = 1;
    byte[] complete = SampleDocument.complete(edition, tenants, demand::limit);
    send("PUT", 0, complete);
  }

  /** Changes one tenant. */
  void sendChange() {
    long base = edition;
    edition++;
    send("PATCH", base, SampleDocument.change(edition, (int) (edition % tenants)));
  }

  private void send(String method, long base, byte[] body) {
    configurations.sent(edition, time.now());
    sendAgain(method, base, body, edition);
  }

  private void sendAgain(String method, long base, byte[] body, long made) {
    if (configurations.isAcknowledged(made)) {
      return;
    }
    lastCall++;
    long call = lastCall;
    editionOfCall.put(call, made);
    MeasuredCore core = cores.get(nextCore++ % cores.size());
    time.after(
        TRANSFER,
        () -> core.process().submit(() -> core.order(call, method, Long.toString(base), body)));
    time.after(RESEND, () -> sendAgain(method, base, body, made));
  }
}
