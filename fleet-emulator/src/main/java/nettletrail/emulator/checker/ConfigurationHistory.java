package nettletrail.emulator.checker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import nettletrail.emulator.checker.ConfigurationOperation.Answer;
import nettletrail.emulator.checker.ConfigurationOperation.Read;
import nettletrail.emulator.checker.ConfigurationOperation.Use;
import nettletrail.emulator.checker.ConfigurationOperation.Write;

/** The history of the configuration as operators and doors observed it; checked after a run. */
public final class ConfigurationHistory {
  private final List<TimedOperation<ConfigurationOperation>> answered = new ArrayList<>();
  private final List<TimedOperation<ConfigurationOperation>> uses = new ArrayList<>();
  private final Map<ChangeRequest, Long> indeterminateSince = new LinkedHashMap<>();
  private final Set<ChangeRequest> used = new HashSet<>();

  /** A write was acknowledged or rejected. */
  public void written(ChangeRequest change, Answer answer, long invoked, long returned) {
    answered.add(new TimedOperation<>(new Write(change, answer), invoked, returned));
  }

  /**
   * A write has an unknown outcome. Of several such calls for one change only the first is kept: it
   * may take effect at every time at which a later one may.
   */
  public void indeterminate(ChangeRequest change, long invoked) {
    indeterminateSince.merge(change, invoked, Math::min);
  }

  /** A read was answered. */
  public void read(ChangeRequest change, long invoked, long returned) {
    answered.add(new TimedOperation<>(new Read(change), invoked, returned));
  }

  /** A door uses the configuration of a change. */
  public void used(ChangeRequest change, long instant) {
    if (used.add(change)) {
      uses.add(new TimedOperation<>(new Use(change), instant, instant));
    }
  }

  /**
   * Checks that the operations of operators are linearizable, if each configuration that a door
   * uses is committed at any time.
   *
   * @return a counterexample; empty if they are
   */
  public Optional<String> findOperatorViolation() {
    return findViolation(uses.stream().map(ConfigurationHistory::anyTimeLater).toList());
  }

  /**
   * Checks that the operations are linearizable, if each configuration that a door uses is
   * committed by then.
   *
   * @return a counterexample; empty if they are
   */
  public Optional<String> findDoorViolation() {
    return findViolation(uses);
  }

  private Optional<String> findViolation(List<TimedOperation<ConfigurationOperation>> doorUses) {
    List<TimedOperation<ConfigurationOperation>> operations = new ArrayList<>(answered);
    operations.addAll(doorUses);
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
