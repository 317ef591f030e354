package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import nettletrail.protocol.Backend;

/**
 * Calls of draining or deregistering backends that wait for their acknowledgement: each is answered
 * with 200 once its report is replicated well enough, or with 503 at its deadline. Not thread-safe;
 * instants are steady nanoseconds.
 */
public final class PendingCalls {
  private static final long MILLIS = 1_000_000L;

  /** A backend times out after a second; the rest is for the network. */
  private static final long TIMEOUT_NANOS = 800 * MILLIS;

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final List<Call> calls = new ArrayList<>();

  /** One pending call. */
  public static final class Call {
    private final long number;
    private final Backend backend;
    private final long feedOffset;
    private final long withdrawalVersion;
    private final long deadline;
    private final Set<String> replicas = new HashSet<>();

    private Call(
        long number, Backend backend, long feedOffset, long withdrawalVersion, long deadline) {
      this.number = number;
      this.backend = backend;
      this.feedOffset = feedOffset;
      this.withdrawalVersion = withdrawalVersion;
      this.deadline = deadline;
    }

    /** A door that has read the feed up to this offset has the report. */
    public long feedOffset() {
      return feedOffset;
    }

    /** The version of {@link DurableWithdrawals} that the report is part of. */
    public long withdrawalVersion() {
      return withdrawalVersion;
    }

    /** The addresses of the other core processes that have the report on their disks. */
    public Set<String> replicas() {
      return replicas;
    }
  }

  /** Decides when a call may be acknowledged. */
  public interface AcknowledgementPolicy {
    /** Whether the call's report is replicated well enough. */
    boolean mayAcknowledge(Call call, long now);
  }

  /**
   * Adds a call.
   *
   * @param feedOffset the offset up to which doors have to read the feed
   * @param withdrawalVersion the version of {@link DurableWithdrawals} that the report is part of
   */
  public void add(long call, Backend backend, long feedOffset, long withdrawalVersion, long now) {
    calls.add(new Call(call, backend, feedOffset, withdrawalVersion, now + TIMEOUT_NANOS));
  }

  /**
   * Another core process has this report on its disk; it covers calls with it or with one that it
   * replaces.
   */
  public void replicated(String replica, Backend backend) {
    for (Call call : calls) {
      boolean same = call.backend.getId().equals(backend.getId());
      if (same && (call.backend == backend || !BackendOrdering.replaces(call.backend, backend))) {
        call.replicas.add(replica);
      }
    }
  }

  /** Removes and answers all calls that may be acknowledged or have reached their deadline. */
  public List<RegistryAction> answerDue(AcknowledgementPolicy policy, long now) {
    List<RegistryAction> answers = new ArrayList<>();
    Iterator<Call> iterator = calls.iterator();
    while (iterator.hasNext()) {
      Call call = iterator.next();
      if (policy.mayAcknowledge(call, now)) {
        answers.add(new RegistryAction.AnswerBackend(call.number, OK));
        iterator.remove();
      } else if (now - call.deadline >= 0) {
        answers.add(new RegistryAction.AnswerBackend(call.number, UNAVAILABLE));
        iterator.remove();
      }
    }
    return answers;
  }
}
