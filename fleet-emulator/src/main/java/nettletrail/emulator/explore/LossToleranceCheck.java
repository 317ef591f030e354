package nettletrail.emulator.explore;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks after each step that the group survives every further loss that it has to tolerate: all
 * combinations of machines that count as lost already with as many others as may be lost as well.
 */
final class LossToleranceCheck {
  private final int toleratedLosses;
  private final RegisterChecks checks;
  private final LossCheck lossCheck = new LossCheck();
  private long acknowledgedBefore;

  /**
   * @param toleratedLosses how many machines may count as lost at once
   * @param checks is given the violations
   */
  LossToleranceCheck(int toleratedLosses, RegisterChecks checks) {
    this.toleratedLosses = toleratedLosses;
    this.checks = checks;
  }

  /**
   * Checks the present state.
   *
   * @param replicas the group, by position
   * @param lost the positions that count as lost
   */
  void check(List<SimulatedReplica> replicas, List<Integer> lost) {
    lossCheck.observe(replicas);
    if (checks.acknowledgedEdition() != acknowledgedBefore) {
      acknowledgedBefore = checks.acknowledgedEdition();
      lossCheck.acknowledged();
    }
    if (lost.size() > toleratedLosses) {
      checkWithout(replicas, List.of());
    } else {
      checkFurtherLosses(replicas, lost, 0);
    }
  }

  private void checkFurtherLosses(
      List<SimulatedReplica> replicas, List<Integer> lost, int firstPosition) {
    if (lost.size() == toleratedLosses) {
      checkWithout(replicas, lost);
      return;
    }
    for (int position = firstPosition; position < replicas.size(); position++) {
      if (!lost.contains(position)) {
        List<Integer> more = new ArrayList<>(lost);
        more.add(position);
        checkFurtherLosses(replicas, more, position + 1);
      }
    }
  }

  private void checkWithout(List<SimulatedReplica> replicas, List<Integer> lost) {
    List<SimulatedReplica> survivors = new ArrayList<>();
    for (int position = 0; position < replicas.size(); position++) {
      if (!lost.contains(position)) {
        survivors.add(replicas.get(position));
      }
    }
    String violation = lossCheck.violationWithOnly(survivors);
    if (!violation.isEmpty()) {
      checks.addViolation(violation + " without positions " + lost);
    }
  }

  /** What the state consists of, for its fingerprint. */
  List<Object> content() {
    return lossCheck.content();
  }
}
