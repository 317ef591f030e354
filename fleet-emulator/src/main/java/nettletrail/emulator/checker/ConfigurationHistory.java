package nettletrail.emulator.checker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import nettletrail.emulator.checker.ConfigurationOperation.Answer;
import nettletrail.emulator.checker.ConfigurationOperation.ChangeRequest;
import nettletrail.emulator.checker.ConfigurationOperation.Read;
import nettletrail.emulator.checker.ConfigurationOperation.Use;
import nettletrail.emulator.checker.ConfigurationOperation.Write;

/**
 * Collects what operators and doors saw of the configuration, to be checked at the end of a run.
 */
public final class ConfigurationHistory {
  private final List<TimedOperation<ConfigurationOperation>> answered = new ArrayList<>();
  private final List<TimedOperation<ConfigurationOperation>> uses = new ArrayList<>();
  private final Map<ChangeRequest, Long> indeterminateSince = new LinkedHashMap<>();
  private final Set<ChangeRequest> used = new HashSet<>();

  /** A write was answered clearly. */
  public void written(ChangeRequest change, Answer answer, long invoked, long returned) {
    answered.add(new TimedOperation<>(new Write(change, answer), invoked, returned));
  }

  /**
   * A write got no clear answer. Of several such calls with one order the first stands for all:
   * whatever another could have done at some time, the first could have done then too.
   */
  public void indeterminate(ChangeRequest change, long invoked) {
    indeterminateSince.merge(change, invoked, Math::min);
  }

  /** A read was answered. */
  public void read(ChangeRequest change, long invoked, long returned) {
    answered.add(new TimedOperation<>(new Read(change), invoked, returned));
  }

  /** A door uses an order's configuration. */
  public void used(ChangeRequest change, long instant) {
    if (used.add(change)) {
      uses.add(new TimedOperation<>(new Use(change), instant, instant));
    }
  }

  /** How many operations there are. */
  public int size() {
    return answered.size() + uses.size() + indeterminateSince.size();
  }

  /**
   * Searches for an order of all operations; returns what stands against it, or nothing if there is
   * one.
   *
   * @param doorsInOrder whether what a door uses must have been taken by then, as operators see it;
   *     if not, it is enough that it is taken at some time
   */
  public Optional<String> explainViolation(boolean doorsInOrder) {
    List<TimedOperation<ConfigurationOperation>> operations = new ArrayList<>(answered);
    for (TimedOperation<ConfigurationOperation> use : uses) {
      operations.add(doorsInOrder ? use : anyTimeLater(use));
    }
    indeterminateSince.forEach(
        (change, invoked) ->
            operations.add(
                new TimedOperation<>(
                    new Write(change, Answer.INDETERMINATE), invoked, TimedOperation.NEVER)));
    LinearizabilityChecker<ConfigurationRegisterModel.State, ConfigurationOperation> checker =
        new LinearizabilityChecker<>(new ConfigurationRegisterModel(), operations);
    return checker.isLinearizable() ? Optional.empty() : Optional.of(checker.counterexample());
  }

  private static TimedOperation<ConfigurationOperation> anyTimeLater(
      TimedOperation<ConfigurationOperation> use) {
    return new TimedOperation<>(use.operation(), use.invoked(), TimedOperation.NEVER - 1);
  }
}
