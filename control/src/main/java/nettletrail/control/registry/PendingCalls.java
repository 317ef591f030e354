package nettletrail.control.registry;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import nettletrail.protocol.Backend;

/**
 * Calls of backends that are answered once enough others know what they said, or refused after a
 * while.
 */
public final class PendingCalls {
  private static final long MILLIS = 1_000_000L;

  /** The backend gives a call a second; the rest is for the way. */
  private static final long PATIENCE = 800 * MILLIS;

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final List<Call> calls = new ArrayList<>();

  /** One call that waits. {@code offset}: where its report stands in the feed. */
  public static final class Call {
    private final long number;
    private final Backend backend;
    private final long offset;
    private final long deadline;
    private boolean otherCoreHasIt;

    private Call(long number, Backend backend, long offset, long deadline) {
      this.number = number;
      this.backend = backend;
      this.offset = offset;
      this.deadline = deadline;
    }

    /** The offset in the feed at which doors have the report. */
    public long offset() {
      return offset;
    }

    /** Whether another core process has acknowledged the report. */
    public boolean otherCoreHasIt() {
      return otherCoreHasIt;
    }
  }

  /** Decides whether enough others know. */
  public interface Coverage {
    /** Whether the call can be acknowledged. */
    boolean covers(Call call);
  }

  /** Keeps a call until it is covered or late. */
  public void add(long call, Backend backend, long offset, long now) {
    calls.add(new Call(call, backend, offset, now + PATIENCE));
  }

  /** Another core process has this report, or a newer one that says the same. */
  public void otherCoreHas(Backend backend) {
    for (Call call : calls) {
      boolean same = call.backend.getId().equals(backend.getId());
      if (same && (call.backend == backend || !BackendOrdering.replaces(call.backend, backend))) {
        call.otherCoreHasIt = true;
      }
    }
  }

  /** Takes out and answers all calls that are covered or late. */
  public List<RegistryAction> settle(Coverage coverage, long now) {
    List<RegistryAction> answers = new ArrayList<>();
    for (Iterator<Call> iterator = calls.iterator(); iterator.hasNext(); ) {
      Call call = iterator.next();
      if (coverage.covers(call)) {
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
