package nettletrail.emulator.checker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks that a shard has at most one owner at a time, and that a fencing token is used by one
 * process and for one value per sequence number.
 */
public final class OwnershipChecker {
  private final Consumer<Violation> violations;
  private final Map<TokenKey, String> tokenUsers = new HashMap<>();
  private final Map<WriteKey, String> writtenValues = new HashMap<>();

  /**
   * @param violations receives the violations
   */
  public OwnershipChecker(Consumer<Violation> violations) {
    this.violations = violations;
  }

  /**
   * Checks the owners of a shard at one instant.
   *
   * @param owners all processes that hold the lease by their own clock, frozen ones included
   */
  public void leaseOwners(long instant, int shard, List<String> owners) {
    if (owners.size() > 1) {
      violations.accept(
          new Violation(Guarantee.SINGLE_OWNER, instant, "shard " + shard + " owned by " + owners));
    }
  }

  /**
   * A process acted under a token.
   *
   * @param process the incarnation of the process, not just its machine
   */
  public void tokenUsed(long instant, int shard, String token, String process) {
    String first = tokenUsers.putIfAbsent(new TokenKey(shard, token), process);
    if (first != null && !first.equals(process)) {
      String what = "shard " + shard + " token " + token + " of " + first + " used by " + process;
      violations.accept(new Violation(Guarantee.FENCING_TOKEN_UNIQUE, instant, what));
    }
  }

  /** A process proposed a value under a token. */
  public void written(long instant, int shard, String token, long sequence, String valueDigest) {
    WriteKey key = new WriteKey(shard, token, sequence);
    String first = writtenValues.putIfAbsent(key, valueDigest);
    if (first != null && !first.equals(valueDigest)) {
      violations.accept(
          new Violation(Guarantee.FENCING_TOKEN_UNIQUE, instant, "two values for " + key));
    }
  }

  private record TokenKey(int shard, String token) {}

  private record WriteKey(int shard, String token, long sequence) {}
}
