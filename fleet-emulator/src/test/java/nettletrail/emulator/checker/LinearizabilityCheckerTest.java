package nettletrail.emulator.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.checker.ConfigurationOperation.Answer;
import nettletrail.emulator.checker.ConfigurationOperation.Read;
import nettletrail.emulator.checker.ConfigurationOperation.Use;
import nettletrail.emulator.checker.ConfigurationOperation.Write;
import org.junit.jupiter.api.Test;

/** Linearizable and other histories of the configuration register. */
class LinearizabilityCheckerTest {
  private static final ChangeRequest FIRST = new ChangeRequest(1, 0, 2);
  private static final ChangeRequest SECOND = new ChangeRequest(2, 2, 5);
  private static final ChangeRequest RIVAL = new ChangeRequest(3, 2, 7);

  private final List<TimedOperation<ConfigurationOperation>> history = new ArrayList<>();

  @Test
  void acceptsCallsOneAfterAnother() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.ACKNOWLEDGED, 20, 30);
    write(RIVAL, Answer.REJECTED, 40, 50);
    read(SECOND, 60, 70);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsAnyWinnerOfARace() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.REJECTED, 20, 50);
    write(RIVAL, Answer.ACKNOWLEDGED, 20, 50);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsAnIndeterminateWriteThatTookEffectLater() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    indeterminate(SECOND, 20);
    read(FIRST, 30, 40);
    read(SECOND, 50, 60);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsAnIndeterminateWriteThatNeverTookEffect() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    indeterminate(SECOND, 20);
    write(RIVAL, Answer.ACKNOWLEDGED, 30, 40);
    read(RIVAL, 50, 60);
    assertTrue(isLinearizable());
  }

  @Test
  void acceptsTheSameChangeAcknowledgedAgain() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    indeterminate(SECOND, 20);
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
  void findsACommittedChangeThatIsRejected() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(FIRST, Answer.REJECTED, 20, 30);
    assertFalse(isLinearizable());
  }

  @Test
  void findsARejectedChangeThatIsActive() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.REJECTED, 20, 40);
    write(RIVAL, Answer.ACKNOWLEDGED, 20, 40);
    use(SECOND, 50);
    assertFalse(isLinearizable());
  }

  @Test
  void findsARejectionThatNothingExplains() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    write(SECOND, Answer.REJECTED, 20, 30);
    assertFalse(isLinearizable());
  }

  @Test
  void findsAReadThatGoesBack() {
    write(FIRST, Answer.ACKNOWLEDGED, 0, 10);
    indeterminate(SECOND, 20);
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
    List<ChangeRequest> orders = List.of(FIRST, SECOND, RIVAL);
    for (int index = 0; index < count; index++) {
      long invoked = random.nextLong(20);
      long returned = invoked + 1 + random.nextLong(20);
      ChangeRequest change = orders.get(random.nextInt(orders.size()));
      switch (random.nextInt(4)) {
        case 0 -> read(change, invoked, returned);
        case 1 -> indeterminate(change, invoked);
        case 2 -> write(change, Answer.REJECTED, invoked, returned);
        default -> write(change, Answer.ACKNOWLEDGED, invoked, returned);
      }
    }
  }

  private void write(ChangeRequest change, Answer answer, long invoked, long returned) {
    history.add(new TimedOperation<>(new Write(change, answer), invoked, returned));
  }

  private void indeterminate(ChangeRequest change, long invoked) {
    write(change, Answer.INDETERMINATE, invoked, TimedOperation.NEVER);
  }

  private void read(ChangeRequest change, long invoked, long returned) {
    history.add(new TimedOperation<>(new Read(change), invoked, returned));
  }

  private void use(ChangeRequest change, long instant) {
    history.add(new TimedOperation<>(new Use(change), instant, instant));
  }

  private boolean isLinearizable() {
    return new LinearizabilityChecker<>(new ConfigurationRegisterModel(), history).isLinearizable();
  }

  /** Tries each order of the operations and each choice of indeterminate ones, without a cache. */
  private static final class AllOrders {
    private final ConfigurationRegisterModel model = new ConfigurationRegisterModel();
    private final List<TimedOperation<ConfigurationOperation>> operations;

    AllOrders(List<TimedOperation<ConfigurationOperation>> operations) {
      this.operations = operations;
    }

    boolean isLinearizable() {
      return extend(model.initial(), new ArrayList<>());
    }

    private boolean extend(
        ConfigurationRegisterModel.State state,
        List<TimedOperation<ConfigurationOperation>> linearized) {
      if (operations.stream().filter(TimedOperation::isAnswered).allMatch(linearized::contains)) {
        return true;
      }
      for (TimedOperation<ConfigurationOperation> next : operations) {
        if (linearized.contains(next)
            || linearized.stream().anyMatch(p -> next.returned() < p.invoked())) {
          continue;
        }
        ConfigurationRegisterModel.State after = model.apply(state, next.operation());
        if (after != null) {
          List<TimedOperation<ConfigurationOperation>> longer = new ArrayList<>(linearized);
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
