package nettletrail.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.ChangeRequests;
import nettletrail.emulator.actors.ClientObserver;
import nettletrail.emulator.checker.ActivationChecker;
import nettletrail.emulator.checker.ConfigurationHistory;
import nettletrail.emulator.checker.ConfigurationOperation.Answer;
import nettletrail.emulator.checker.DrainChecker;
import nettletrail.emulator.checker.Guarantee;
import nettletrail.emulator.checker.KeyChecker;
import nettletrail.emulator.checker.QuotaChecker;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.simulation.RunLog;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;

/**
 * Gives what operators, backends and doors of one fleet observe to the checkers of the guarantees,
 * and collects the violations.
 */
public final class FleetChecker implements ClientObserver {
  private static final int MAX_VIOLATIONS = 20;

  private final VirtualTime time;
  private final RunLog log;
  private final ChangeRequests changes;
  private final List<Violation> violations = new ArrayList<>();
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final QuotaChecker quota;
  private final KeyChecker keys;
  private final DrainChecker drain;
  private final ActivationChecker activation;
  private int acknowledgedChanges;
  private int rejectedChanges;

  FleetChecker(Simulation simulation, GuaranteeLimits limits, ChangeRequests changes) {
    this.time = simulation.time();
    this.log = simulation.log();
    this.changes = changes;
    this.quota = new QuotaChecker(ChangeDocument.TENANT, limits.quotaLimit(), this::report);
    this.keys = new KeyChecker(limits.keyRevocationNanos(), this::report);
    this.drain = new DrainChecker(limits.drainNanos(), this::report);
    this.activation = new ActivationChecker(limits.activationNanos(), this::report);
  }

  /** Records a violation; only the first 20 are kept. */
  public void report(Violation violation) {
    log.add("VIOLATION %s", violation);
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(violation);
    }
  }

  private void report(Guarantee guarantee, String what) {
    report(new Violation(guarantee, time.now(), what));
  }

  /** The violations so far; those of the complete history only after {@link #checkHistory}. */
  public List<Violation> violations() {
    return List.copyOf(violations);
  }

  /** Checks the complete history of the configuration; called once, at the end of a run. */
  public void checkHistory() {
    Optional<String> amongOperators = history.findOperatorViolation();
    if (amongOperators.isPresent()) {
      report(Guarantee.LINEARIZABLE_CONFIGURATION, amongOperators.get());
      return;
    }
    history
        .findDoorViolation()
        .ifPresent(violation -> report(Guarantee.READS_NOT_BEHIND_DOORS, violation));
  }

  /** How many acknowledgements of changes operators have, repeated ones included. */
  public int acknowledgedChanges() {
    return acknowledgedChanges;
  }

  /** How many rejections of changes operators have. */
  public int rejectedChanges() {
    return rejectedChanges;
  }

  /** The maximum of tokens that the tenant used in any window. */
  public long maxTokensInWindow() {
    return quota.maxUsed();
  }

  // Observations of operators

  @Override
  public void acknowledged(ChangeDocument document, long invoked) {
    acknowledgedChanges++;
    log.add("acknowledged %s", document.change());
    history.written(document.change(), Answer.ACKNOWLEDGED, invoked, time.now());
    activation.acknowledged(time.now(), document.change().edition());
    for (String key : document.revokedKeys()) {
      keys.revoked(time.now(), key);
    }
  }

  @Override
  public void rejected(ChangeDocument document, long invoked) {
    rejectedChanges++;
    log.add("rejected %s", document.change());
    history.written(document.change(), Answer.REJECTED, invoked, time.now());
  }

  @Override
  public void indeterminate(ChangeDocument document, long invoked) {
    log.add("no conclusive answer to %s", document.change());
    history.indeterminate(document.change(), invoked);
  }

  @Override
  public void read(ChangeDocument document, long invoked) {
    log.add("read %s", document.change());
    history.read(document.change(), invoked, time.now());
  }

  // Observations of backends

  @Override
  public void backendEndAcknowledged(String backend) {
    log.add("end of %s acknowledged", backend);
    drain.endAcknowledged(time.now(), backend);
  }

  @Override
  public void backendEnded(String backend) {
    log.add("%s has ended", backend);
    drain.ended(backend);
  }

  // Observations at doors

  @Override
  public void configurationUsed(String door, boolean stable, int changeId) {
    ChangeDocument document = changes.get(changeId);
    history.used(document.change(), time.now());
    activation.used(time.now(), door, stable, document.change().edition());
  }

  @Override
  public void keyAccepted(String door, String key) {
    keys.accepted(time.now(), door, key);
  }

  @Override
  public void quotaUsed(long tokens) {
    quota.used(time.now(), tokens);
  }

  @Override
  public void backendUsed(String door, boolean stable, String backend) {
    drain.used(time.now(), door, stable, backend);
  }
}
