package nettletrail.emulator.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.control.door.DoorAction;
import nettletrail.control.grant.QuotaLimit;

/**
 * Configurations as the doors have them. The first door that gets an edition compiles it; the
 * others are charged the same processor time and share the outcome, so that hundreds of doors in
 * one process hold it once.
 */
final class CompiledConfigurations {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<Long, Compiled> byEdition = new HashMap<>();
  private final Map<Long, Order> orders = new HashMap<>();

  /**
   * The limits of an edition, and what compiling it took; 0 for the one door that did it, whose
   * step has it already.
   */
  record Compiled(Map<String, QuotaLimit> limits, long cpuNs) {}

  /** An order of the operator: when it was sent, and when each door had it. */
  static final class Order {
    private final long sentAt;
    private final Map<String, Long> inForceAt = new HashMap<>();
    private boolean acknowledged;

    private Order(long sentAt) {
      this.sentAt = sentAt;
    }
  }

  Compiled of(DoorAction.ConfigurationChanged changed) {
    Compiled known = byEdition.get(changed.edition());
    if (known != null) {
      return known;
    }
    long began = Gauge.cpuNs();
    Map<String, QuotaLimit> limits = Map.copyOf(MeasuredCore.limits(changed.document()));
    long spent = Gauge.cpuNs() - began;
    byEdition.put(changed.edition(), new Compiled(limits, spent));
    return new Compiled(limits, 0);
  }

  /** The operator sends this edition. */
  void sent(long edition, long now) {
    orders.put(edition, new Order(now));
  }

  /** The operator's call that made this edition was answered. */
  void acknowledged(long edition) {
    Order order = orders.get(edition);
    if (order != null) {
      order.acknowledged = true;
    }
  }

  boolean isAcknowledged(long edition) {
    Order order = orders.get(edition);
    return order != null && order.acknowledged;
  }

  /** A door uses this edition; it uses all earlier ones, too. */
  void inForce(String door, long edition, long now) {
    orders.forEach(
        (number, order) -> {
          if (number <= edition) {
            order.inForceAt.putIfAbsent(door, now);
          }
        });
  }

  /**
   * Seconds from an order's sending until a door used it, for all doors and the orders of these
   * editions.
   */
  List<Double> secondsUntilInForce(long firstEdition, long lastEdition) {
    List<Double> seconds = new ArrayList<>();
    orders.forEach(
        (number, order) -> {
          if (number >= firstEdition && number <= lastEdition) {
            order
                .inForceAt
                .values()
                .forEach(at -> seconds.add((at - order.sentAt) / NANOS_PER_SECOND));
          }
        });
    return seconds;
  }
}
