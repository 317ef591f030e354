package nettletrail.plans.export;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.plans.ledger.Entry;

/**
 * Decides when the lines of a ledger are sent to the receiver, in which batches, and what its
 * responses mean. Does no I/O and reads no clock. One thread; one for each ledger.
 *
 * <p><b>Batches.</b> A batch contains the lines of the entries from..to. Its boundaries are
 * themselves an entry that is confirmed before the batch is posted for the first time, so every
 * retry, by whatever process, posts the same. A batch names the end of the one before it.
 *
 * <p><b>The receiver</b> keeps, for each ledger, the end of what it has accepted. It accepts a
 * batch that follows this end, all of it or a first part, and responds with its new end; anything
 * else changes nothing there and gets the same response. So lines count once however often they
 * arrive, and a receiver that lost data (a crash, an old backup) reports it by itself.
 *
 * <p><b>States</b>; batches are closed in all of them, one boundary at a time:
 *
 * <ul>
 *   <li>IDLE: nothing is in flight, until there is a batch that the receiver doesn't have
 *       (POSTING).
 *   <li>POSTING: the first such batch is in flight, until its response (IDLE) or none
 *       (BACKING_OFF).
 *   <li>BACKING_OFF: nothing is in flight, for an exponential backoff with jitter (IDLE).
 * </ul>
 *
 * <p>A batch that the receiver rejects for good is marked so by an entry of its own, for operators;
 * the next batch names the same end before it as the rejected one did.
 *
 * <p>Sources: CloudEvents 1.0 (batched content mode); Saltzer, Reed, Clark, "End-to-end arguments
 * in system design", 1984.
 */
public final class ExportDecider {
  /** What the decider requests, during calls of its methods. */
  public interface Actions {
    /** Appends an entry to the ledger; {@link #confirmed} follows later. */
    void put(Entry.Event what);

    /**
     * Posts a batch; exactly one {@link #answered}, {@link #attemptFailed} or {@link #rejected}
     * follows later.
     */
    void post(Batch batch);

    /** Logs a line for operators. */
    void log(String line);
  }

  /**
   * A batch.
   *
   * @param before the end that the receiver must have reached before it
   */
  public record Batch(long from, long to, long before) {}

  /**
   * Settings; times in nanoseconds.
   *
   * @param maxLines in a batch, at least 1
   * @param maxAgeNs after which a batch is closed, however few lines it has
   * @param minBackoffNs between two attempts that failed
   * @param maxBackoffNs after many failed attempts
   * @param probeIntervalNs after which the receiver is asked for its end without anything new
   */
  public record Terms(
      int maxLines, long maxAgeNs, long minBackoffNs, long maxBackoffNs, long probeIntervalNs) {
    /** Checks the values. */
    public Terms {
      if (maxLines < 1
          || maxAgeNs < 0
          || minBackoffNs < 1
          || maxBackoffNs < minBackoffNs
          || probeIntervalNs < 1) {
        throw new IllegalArgumentException("Terms: out of range");
      }
    }
  }

  /** Figures for operators. */
  public record Status(
      String state,
      long cutTo,
      long taken,
      long unposted,
      long waiting,
      long attempts,
      long rewinds,
      long shelved) {
    /** Whether the receiver has accepted or rejected everything. */
    public boolean isDone() {
      return unposted == 0 && waiting == 0;
    }
  }

  private enum State {
    IDLE,
    POSTING,
    BACKING_OFF
  }

  /** A line that is in no batch yet. */
  private record Waiting(long sequence, long since) {}

  private static final long NEVER = Long.MAX_VALUE;

  private final Terms terms;
  private final Actions actions;
  private final SplittableRandom random;

  /** All batches in order, rejected ones too. */
  private final List<Batch> batches = new ArrayList<>();

  private final List<Boolean> shelved = new ArrayList<>();
  private State state = State.IDLE;
  private final ArrayDeque<Waiting> lines = new ArrayDeque<>();
  private long cutTo;

  /** Whether a boundary is appended and not confirmed. */
  private boolean cutting;

  /** The end of what the receiver has, by its last response. */
  private long taken;

  /** The same as recorded in the ledger. */
  private long recordedAcknowledged;

  private Batch inFlight;
  private long backoffUntil;
  private long backoffNs;
  private long askAt;
  private long attempts;
  private long rewinds;
  private long shelvedCount;

  /** Nothing is exported yet; {@code seed} of the jitter. */
  public ExportDecider(Terms terms, long seed, Actions actions) {
    this.terms = terms;
    this.actions = actions;
    random = new SplittableRandom(seed);
  }

  /**
   * An entry is confirmed; to be called with all entries in order, at recovery too.
   *
   * @param isLine whether it has a billing line
   */
  public void confirmed(long now, Entry entry, boolean isLine) {
    if (isLine) {
      lines.addLast(new Waiting(entry.sequence(), now));
    }
    if (entry.event() instanceof Entry.BatchBoundary cut) {
      batches.add(new Batch(cut.from(), cut.to(), endBefore(batches.size())));
      shelved.add(false);
      cutTo = cut.to();
      cutting = false;
      // What was appended before the confirmation is behind it, and in the next batch.
      while (!lines.isEmpty() && lines.peekFirst().sequence() <= cutTo) {
        lines.pollFirst();
      }
    } else if (entry.event() instanceof Entry.BatchAcknowledged acked) {
      taken = acked.to();
      recordedAcknowledged = acked.to();
    } else if (entry.event() instanceof Entry.BatchRejected mark) {
      shelve(mark.to());
    }
  }

  /** The end that the batch at this index must follow; rejected ones are skipped. */
  private long endBefore(int place) {
    for (int i = place - 1; i >= 0; i--) {
      if (!shelved.get(i)) {
        return batches.get(i).to();
      }
    }
    return 0;
  }

  private void shelve(long to) {
    for (int i = 0; i < batches.size(); i++) {
      if (batches.get(i).to() == to && !shelved.get(i)) {
        shelved.set(i, true);
        shelvedCount++;
        for (int j = i + 1; j < batches.size(); j++) {
          Batch each = batches.get(j);
          batches.set(j, new Batch(each.from(), each.to(), endBefore(j)));
        }
      }
    }
  }

  /** Does what is due; to be called after a confirmation or response, and at {@link #nextDue}. */
  public void tick(long now) {
    if (state == State.BACKING_OFF && now - backoffUntil >= 0) {
      state = State.IDLE;
    }
    cut(now);
    if (state != State.IDLE) {
      return;
    }
    Batch next = next();
    if (next != null) {
      post(now, next);
    } else if (lastAcceptableBatch() != null && now - askAt >= 0) {
      post(now, lastAcceptableBatch()); // it has it, or it reports that it lost it
    }
  }

  private void cut(long now) {
    boolean old = !lines.isEmpty() && now - lines.peekFirst().since() >= terms.maxAgeNs();
    if (cutting || !old && lines.size() < terms.maxLines()) {
      return;
    }
    long to = 0;
    int taking = terms.maxLines();
    for (Waiting each : lines) {
      if (taking-- == 0) {
        break;
      }
      to = each.sequence();
    }
    cutting = true;
    actions.put(new Entry.BatchBoundary(cutTo + 1, to));
  }

  /** When {@link #tick} is due next; {@link Long#MAX_VALUE} if not by time. */
  public long nextDue() {
    long cut = cutting || lines.isEmpty() ? NEVER : lines.peekFirst().since() + terms.maxAgeNs();
    return Math.min(
        cut,
        switch (state) {
          case POSTING -> NEVER;
          case BACKING_OFF -> backoffUntil;
          case IDLE -> lastAcceptableBatch() == null ? NEVER : askAt;
        });
  }

  /** The first batch that the receiver doesn't have completely; null if there is none. */
  private Batch next() {
    int low = 0;
    int high = batches.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (batches.get(middle).to() > taken) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    while (low < batches.size() && shelved.get(low)) {
      low++;
    }
    return low < batches.size() ? batches.get(low) : null;
  }

  private Batch lastAcceptableBatch() {
    for (int i = batches.size() - 1; i >= 0; i--) {
      if (!shelved.get(i)) {
        return batches.get(i);
      }
    }
    return null;
  }

  private void post(long now, Batch batch) {
    state = State.POSTING;
    inFlight = batch;
    attempts++;
    askAt = now + terms.probeIntervalNs();
    actions.post(batch);
  }

  /** The receiver responded with the end of what it has of this ledger. */
  public void answered(long now, long end) {
    state = State.IDLE;
    Batch posted = inFlight;
    inFlight = null;
    if (end > cutTo) {
      actions.log(
          "export: the receiver says that it has entries up to "
              + end
              + "; batches were cut up to "
              + cutTo
              + " only: another ledger's name, or another receiver's answer");
      backOff(now);
      return;
    }
    boolean further = end > taken;
    if (end < taken) {
      rewinds++;
      actions.log(
          "export: the receiver has entries up to "
              + end
              + " only, and had them up to "
              + taken
              + ": what it lost is sent again");
    }
    taken = end;
    if (further) {
      backoffNs = 0;
      if (taken > recordedAcknowledged) {
        recordedAcknowledged = taken;
        actions.put(new Entry.BatchAcknowledged(taken));
      }
    }
    if (end < posted.to() && !further && end >= posted.before()) {
      backOff(now); // it accepted nothing without a reason: no immediate retry
    }
    tick(now);
  }

  /** There was no response, or one that asks to retry later. */
  public void attemptFailed(long now, long retryAfterNs) {
    inFlight = null;
    backOff(now);
    backoffUntil = Math.max(backoffUntil, now + Math.min(retryAfterNs, terms.maxBackoffNs()));
  }

  /** The receiver rejects the batch in flight for good. */
  public void rejected(long now, String why) {
    state = State.IDLE;
    Batch posted = inFlight;
    inFlight = null;
    actions.log(
        "export: the receiver turned down entries "
            + posted.from()
            + " to "
            + posted.to()
            + ": "
            + why
            + "; they are shelved: see ./nettletrail usage export --shelf");
    // At once, or it would be posted again before the entry is confirmed.
    shelve(posted.to());
    actions.put(new Entry.BatchRejected(posted.to(), why));
    tick(now);
  }

  private void backOff(long now) {
    state = State.BACKING_OFF;
    backoffNs = Math.min(terms.maxBackoffNs(), Math.max(terms.minBackoffNs(), backoffNs * 2));
    backoffUntil = now + backoffNs / 2 + random.nextLong(backoffNs / 2 + 1);
  }

  /** The complete state without times, for the exploration of states. */
  String stateText() {
    List<Long> open = new ArrayList<>();
    lines.forEach(each -> open.add(each.sequence()));
    return state
        + " "
        + batches
        + shelved
        + open
        + cutting
        + ","
        + cutTo
        + ","
        + taken
        + ","
        + recordedAcknowledged
        + ","
        + inFlight;
  }

  /** The present figures. */
  public Status status() {
    long unposted = 0;
    for (int i = batches.size() - 1; i >= 0 && batches.get(i).to() > taken; i--) {
      unposted += shelved.get(i) ? 0 : 1;
    }
    return new Status(
        state.name(), cutTo, taken, unposted, lines.size(), attempts, rewinds, shelvedCount);
  }
}
