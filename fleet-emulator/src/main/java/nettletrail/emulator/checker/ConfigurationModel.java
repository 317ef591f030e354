package nettletrail.emulator.checker;

import java.util.Set;
import java.util.TreeSet;
import nettletrail.emulator.checker.ConfigurationOperation.Order;
import nettletrail.emulator.checker.ConfigurationOperation.Read;
import nettletrail.emulator.checker.ConfigurationOperation.Use;
import nettletrail.emulator.checker.ConfigurationOperation.Write;

/**
 * The configuration as a register with compare-and-set on the edition. An order that was taken is
 * acknowledged again and never refused; one that was refused is never taken.
 */
public final class ConfigurationModel
    implements SequentialModel<ConfigurationModel.State, ConfigurationOperation> {

  /**
   * @param current the order whose configuration is the newest
   * @param taken ids of all orders that were taken
   * @param refused ids of all orders that were refused
   */
  public record State(Order current, Set<Integer> taken, Set<Integer> refused) {}

  @Override
  public State initial() {
    return new State(Order.NONE, Set.of(Order.NONE.id()), Set.of());
  }

  @Override
  public State apply(State state, ConfigurationOperation operation) {
    if (operation instanceof Write write) {
      return applyWrite(state, write);
    }
    if (operation instanceof Read read) {
      return read.order().equals(state.current()) ? state : null;
    }
    Use use = (Use) operation;
    return state.taken().contains(use.order().id()) ? state : null;
  }

  private static State applyWrite(State state, Write write) {
    Order order = write.order();
    return switch (write.answer()) {
      case ACKNOWLEDGED -> state.taken().contains(order.id()) ? state : take(state, order);
      case REFUSED -> refuse(state, order);
      case UNCLEAR -> take(state, order);
    };
  }

  private static State take(State state, Order order) {
    boolean settled = state.taken().contains(order.id()) || state.refused().contains(order.id());
    if (settled || order.basedOn() != state.current().edition()) {
      return null;
    }
    return new State(order, with(state.taken(), order), state.refused());
  }

  private static State refuse(State state, Order order) {
    boolean taken = state.taken().contains(order.id());
    if (taken || order.basedOn() == state.current().edition()) {
      return null;
    }
    return new State(state.current(), state.taken(), with(state.refused(), order));
  }

  private static Set<Integer> with(Set<Integer> ids, Order order) {
    Set<Integer> more = new TreeSet<>(ids);
    more.add(order.id());
    return more;
  }
}
