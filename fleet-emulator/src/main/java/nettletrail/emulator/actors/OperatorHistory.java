package nettletrail.emulator.actors;

import java.util.HashMap;
import java.util.Map;
import nettletrail.emulator.checker.ConfigurationOperation.Order;

/** All orders that any operator has made, by id. */
public final class OperatorHistory {
  private final Map<Integer, OrderDocument> documents = new HashMap<>();

  /**
   * Makes an order.
   *
   * @param base what it builds on; null for the first
   * @param step by how much its edition is above that of the base
   */
  public OrderDocument create(OrderDocument base, long step) {
    long basedOn = base == null ? 0 : base.order().edition();
    Order order = new Order(documents.size() + 1, basedOn, basedOn + step);
    OrderDocument document = new OrderDocument(order, base);
    documents.put(order.id(), document);
    return document;
  }

  /** The order of an id. */
  public OrderDocument get(int id) {
    OrderDocument document = documents.get(id);
    if (document == null) {
      throw new IllegalArgumentException("no operator ever sent order " + id);
    }
    return document;
  }

  /** How many orders were made. */
  public int size() {
    return documents.size();
  }
}
