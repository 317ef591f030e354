package nettletrail.emulator.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import nettletrail.control.ShardMap;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.actors.ChangeRequests;
import nettletrail.emulator.actors.ClientObserver;
import nettletrail.emulator.checker.ActivationChecker;
import nettletrail.emulator.checker.ConfigurationHistory;
import nettletrail.emulator.checker.ConfigurationOperation.Answer;
import nettletrail.emulator.checker.DrainChecker;
import nettletrail.emulator.checker.Guarantee;
import nettletrail.emulator.checker.KeyChecker;
import nettletrail.emulator.checker.OwnershipChecker;
import nettletrail.emulator.checker.QuotaChecker;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.host.CoreObserver;
import nettletrail.emulator.host.CoreProcess;
import nettletrail.emulator.simulation.RunLog;
import nettletrail.emulator.simulation.Simulation;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Accept;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.ProposalNumber;

/** All judges of one fleet, and what they found. */
public final class FleetChecker implements CoreObserver, ClientObserver {
  private static final int MAX_VIOLATIONS = 20;

  private final VirtualTime time;
  private final RunLog log;
  private final ChangeRequests changes;
  private final Supplier<List<CoreProcess>> coreProcesses;
  private final List<Violation> violations = new ArrayList<>();
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final OwnershipChecker ownership = new OwnershipChecker(this::report);
  private final QuotaChecker quota;
  private final KeyChecker keys;
  private final DrainChecker drain;
  private final ActivationChecker activation;
  private int acknowledgedChanges;
  private int rejectedChanges;

  FleetChecker(
      Simulation simulation,
      GuaranteeLimits checkedLimits,
      ChangeRequests changes,
      Supplier<List<CoreProcess>> coreProcesses) {
    this.time = simulation.time();
    this.log = simulation.log();
    this.changes = changes;
    this.coreProcesses = coreProcesses;
    this.quota = new QuotaChecker(ChangeDocument.TENANT, checkedLimits.quotaLimit(), this::report);
    this.keys = new KeyChecker(checkedLimits.revoke(), this::report);
    this.drain = new DrainChecker(checkedLimits.drain(), this::report);
    this.activation = new ActivationChecker(checkedLimits.activation(), this::report);
  }

  /** Notes a promise that was seen broken. */
  public void report(Violation violation) {
    log.add("BROKEN %s", violation);
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(violation);
    }
  }

  /** What was found, without the check of the whole history. */
  public List<Violation> violations() {
    return List.copyOf(violations);
  }

  /** Checks the whole history of the configuration; to be called once, at the end. */
  public void checkHistory() {
    Optional<String> amongOperators = history.explainViolation(false);
    if (amongOperators.isPresent()) {
      report(Guarantee.LINEARIZABLE_CONFIGURATION, amongOperators.get());
      return;
    }
    history
        .explainViolation(true)
        .ifPresent(obstacle -> report(Guarantee.READS_NOT_BEHIND_DOORS, obstacle));
  }

  private void report(Guarantee guarantee, String what) {
    report(new Violation(guarantee, time.now(), what));
  }

  /** How many orders were acknowledged, repeated acknowledgements included. */
  public int acknowledgedChanges() {
    return acknowledgedChanges;
  }

  /** How many orders were refused. */
  public int rejectedChanges() {
    return rejectedChanges;
  }

  /** The most tokens that the tenant used in any window. */
  public long maxTokensInWindow() {
    return quota.maxUsed();
  }

  // What operators saw

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
    log.add("refused %s", document.change());
    history.written(document.change(), Answer.REJECTED, invoked, time.now());
  }

  @Override
  public void indeterminate(ChangeDocument document, long invoked) {
    log.add("no clear answer to %s", document.change());
    history.indeterminate(document.change(), invoked);
  }

  @Override
  public void read(ChangeDocument document, long invoked) {
    log.add("read %s", document.change());
    history.read(document.change(), invoked, time.now());
  }

  // What backends saw

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

  // What doors did

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

  // What core processes did

  @Override
  public void stepped(CoreProcess process) {
    for (int shard = 0; shard < ShardMap.SHARD_COUNT; shard++) {
      if (process.ownsNow(shard)) {
        checkSingleOwner(shard);
      }
    }
  }

  private void checkSingleOwner(int shard) {
    List<String> holders = new ArrayList<>();
    for (CoreProcess process : coreProcesses.get()) {
      if (process.ownsNow(shard)) {
        holders.add(process.name());
      }
    }
    ownership.leaseOwners(time.now(), shard, holders);
  }

  @Override
  public void accepting(CoreProcess process, Accept message) {
    String token = text(message.getProposal());
    String content =
        digest(message.getVersion().getValue()) + " " + message.getVersion().getMembers();
    ownership.tokenUsed(time.now(), message.getShard(), token, process.name());
    ownership.written(
        time.now(), message.getShard(), token, message.getVersion().getSequence(), content);
  }

  @Override
  public void granting(CoreProcess process, GrantReply message) {
    if (message.getOwner()) {
      String token = text(message.getToken());
      ownership.tokenUsed(time.now(), message.getShard(), token, process.name());
    }
  }

  private static String text(ProposalNumber proposal) {
    return proposal.getTerm() + "/" + proposal.getNode();
  }

  private static int digest(ByteBuffer value) {
    byte[] bytes = new byte[value.remaining()];
    value.duplicate().get(bytes);
    return Arrays.hashCode(bytes);
  }
}
