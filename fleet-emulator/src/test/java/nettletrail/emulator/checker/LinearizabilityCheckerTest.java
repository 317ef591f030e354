package nettletrail.emulator.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.checker.ConfigurationOperation.Answer;
import nettletrail.emulator.checker.ConfigurationOperation.Order;
import nettletrail.emulator.checker.ConfigurationOperation.Read;
import nettletrail.emulator.checker.ConfigurationOperation.Use;
import nettletrail.emulator.checker.ConfigurationOperation.Write;
import org.junit.jupiter.api.Test;

/** Histories of the configuration register, right ones and ones with a planted defect. */
class LinearizabilityCheckerTest {
  private static final Order FIRST = new Order(1, 0, 2);
  private static final Order SECOND = new Order(2, 2, 5);
  private static final Order RIVAL = new Order(3, 2, 7);

  private final List<TimedOperation<ConfigurationOperation>> history = new ArrayList<>();

  @Test
  void acceptsCallsOneAfterAnother() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.ACKNOWLEDGED, 20, 30);
    write(RIVAL, Answer.REFUSED, 40, 50);
    read(SECOND, 60, 70);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsAnyWinnerOfARace() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.REFUSED, 20, 50);
    write(RIVAL, Answer.ACKNOWLEDGED, 20, 50);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsAnUnclearWriteThatTookEffectLater() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    unclear(SECOND, 20);
    read(FIRST, 30, 40);
    read(SECOND, 50, 60);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsAnUnclearWriteThatNeverTookEffect() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    unclear(SECOND, 20);
    write(RIVAL, Answer.ACKNOWLEDGED, 30, 40);
    read(RIVAL, 50, 60);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsTheSameOrderAcknowledgedAgain() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    unclear(SECOND, 20);
    write(SECOND, Answer.ACKNOWLEDGED, 30, 40);
    write(SECOND, Answer.ACKNOWLEDGED, 50, 60);
    assertTrue(isLinearizable());
  }

  @Test
  void findsALostAcknowledgedWrite() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.ACKNOWLEDGED, 20, 30);
    read(FIRST, 40, 50);
    assertFalse(isLinearizable());
  }

  @Test
  void findsTwoWinnersOfARace() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.ACKNOWLEDGED, 20, 50);
    write(RIVAL, Answer.ACKNOWLEDGED, 20, 50);
    assertFalse(isLinearizable());
  }

  @Test
  void findsATakenOrderThatIsRefused() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(FIRST, Answer.REFUSED, 20, 30);
    assertFalse(isLinearizable());
  }

  @Test
  void findsARefusedOrderThatIsInForce() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.REFUSED, 20, 40);
    write(RIVAL, Answer.ACKNOWLEDGED, 20, 40);
    use(SECOND, 50);
    assertFalse(isLinearizable());
  }

  @Test
  void findsARefusalThatNothingExplains() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.REFUSED, 20, 30);
    assertFalse(isLinearizable());
  }

  @Test
  void findsAReadThatGoesBack() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    unclear(SECOND, 20);
    read(SECOND, 30, 40);
    read(FIRST, 50, 60);
    assertFalse(isLinearizable());
  }

  @Test
  void agreesWithTryingAllOrders() {
    SplittableRandom random = new SplittableRandom(7);
    int linearizable = 0;
    for (int round = 0; round < 2_000; round++) {
      history.clear();
      addRandomOperations(random, 5);
      boolean expected = new AllOrders(history).isLinearizable();
      assertEquals(expected, isLinearizable(), () -> "history " + history);
      linearizable += expected ? 1 : 0;
    }
    assertTrue(linearizable > 200 && linearizable < 1_800, "only one kind of history was drawn");
  }

  private void addRandomOperations(SplittableRandom random, int count) {
    List<Order> orders = List.of(FIRST, SECOND, RIVAL);
    for (int index = 0; index < count; index++) {
      long invoked = random.nextLong(20);
      long returned = invoked + 1 + random.nextLong(20);
      Order order = orders.get(random.nextInt(orders.size()));
      switch (random.nextInt(4)) {
        case 0 -> read(order, invoked, returned);
        case 1 -> unclear(order, invoked);
        case 2 -> write(order, Answer.REFUSED, invoked, returned);
        default -> write(order, Answer.ACKNOWLEDGED, invoked, returned);
      }
    }
  }

  private void write(Order order, Answer answer, long invoked, long returned) {
    history.add(new TimedOperation<>(new Write(order, answer), invoked, returned));
  }

  private void unclear(Order order, long invoked) {
    write(order, Answer.UNCLEAR, invoked, TimedOperation.NEVER);
  }

  private void read(Order order, long invoked, long returned) {
    history.add(new TimedOperation<>(new Read(order), invoked, returned));
  }

  private void use(Order order, long instant) {
    history.add(new TimedOperation<>(new Use(order), instant, instant));
  }

  private boolean isLinearizable() {
    return new LinearizabilityChecker<>(new ConfigurationModel(), history).isLinearizable();
  }

  /**
   * Tries each order of the operations and each choice of unclear ones, without any remembering.
   */
  private static final class AllOrders {
    private final ConfigurationModel model = new ConfigurationModel();
    private final List<TimedOperation<ConfigurationOperation>> operations;

    AllOrders(List<TimedOperation<ConfigurationOperation>> operations) {
      this.operations = operations;
    }

    boolean isLinearizable() {
      return extend(model.initial(), new ArrayList<>());
    }

    private boolean extend(
        ConfigurationModel.State state, List<TimedOperation<ConfigurationOperation>> placed) {
      if (operations.stream().filter(TimedOperation::isAnswered).allMatch(placed::contains)) {
        return true;
      }
      for (TimedOperation<ConfigurationOperation> next : operations) {
        if (placed.contains(next) || placed.stream().anyMatch(p -> next.returned() < p.invoked())) {
          continue;
        }
        ConfigurationModel.State after = model.apply(state, next.operation());
        if (after != null) {
          List<TimedOperation<ConfigurationOperation>> longer = new ArrayList<>(placed);
          longer.add(next);
          if (extend(after, longer)) {
            return true;
          }
        }
      }
      return false;
    }
  }
}
