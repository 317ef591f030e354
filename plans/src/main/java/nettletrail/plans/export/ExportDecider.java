package nettletrail.plans.export;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettletrail.plans.ledger.Entry;

/**
 * When a ledger's lines are told to the receiver, in which batches, and what its answers mean. No
 * I/O and no clock. One thread; one for each ledger.
 *
 * <p><b>Batches.</b> A batch is the lines of the entries from..to; the bounds are themselves an
 * entry (Cut) that is confirmed before the batch is posted for the first time, so whoever posts it
 * again, after whatever death, posts the same. A batch names the end of the one before it.
 *
 * <p><b>The receiver</b> keeps, for each ledger, the end of what it has taken. It takes a batch
 * whose name follows, all or a first part, and answers with the end that it has then; whatever else
 * comes changes nothing there and is answered the same. So lines count once however often they
 * come, and a receiver that forgot (it broke after its answer, or was restored from an old backup)
 * says so by itself.
 *
 * <p><b>States</b> of the export; batches are cut in all of them, one Cut at a time:
 *
 * <pre>
 * state     what is out                                             until
 * IDLE      nothing                                                 a batch that the receiver doesn't have: POSTING
 * POSTING   the first such batch                                    its answer: IDLE; no answer, or no word of it: RESTING
 * RESTING   nothing; back-off, doubled and jittered                 its time: IDLE
 * </pre>
 *
 * A batch that the receiver will never take is shelved: that is an entry too, staff see it, and the
 * next batch names the same end before it as the shelved one did.
 *
 * <p>Sources: CloudEvents 1.0 (batched content mode); Saltzer, Reed, Clark, End-to-end arguments in
 * system design, 1984.
 */
public final class ExportDecider {
  /** What the decider asks for; only while it is told something. */
  public interface Actions {
    /** Put this entry into the ledger; {@link #confirmed} comes of it, later, with its sequence. */
    void put(Entry.What what);

    /**
     * Post the batch; exactly one {@link #answered}, {@link #unanswered} or {@link #turnedDown}
     * comes of it, later.
     */
    void post(Batch batch);

    /** A line for operators. */
    void log(String line);
  }

  /**
   * A batch.
   *
   * @param before end of what must have been taken before it
   */
  public record Batch(long from, long to, long before) {}

  /**
   * How it goes about it; times in ns.
   *
   * @param mostLines in a batch
   * @param mostAgeNs after which a line goes out, however few there are
   * @param leastRestNs between two tries that failed
   * @param mostRestNs the same after many
   * @param askNs after which the receiver is asked for its end though nothing is new
   */
  public record Terms(
      int mostLines, long mostAgeNs, long leastRestNs, long mostRestNs, long askNs) {
    public Terms {
      if (mostLines < 1
          || mostAgeNs < 0
          || leastRestNs < 1
          || mostRestNs < leastRestNs
          || askNs < 1) {
        throw new IllegalArgumentException("Terms: out of range");
      }
    }
  }

  /** For operators. */
  public record Status(
      String state,
      long cutTo,
      long taken,
      long unposted,
      long waiting,
      long tries,
      long rewinds,
      long shelved) {
    /** Whether the receiver has, or has turned down, all that there is. */
    public boolean isDone() {
      return unposted == 0 && waiting == 0;
    }
  }

  private enum State {
    IDLE,
    POSTING,
    RESTING
  }

  /** The line of an entry that is in no batch yet, and since when it waits. */
  private record Waiting(long sequence, long since) {}

  private static final long NEVER = Long.MAX_VALUE;

  private final Terms terms;
  private final Actions actions;
  private final SplittableRandom random;

  /** All batches, in order; shelved ones too. */
  private final List<Batch> batches = new ArrayList<>();

  private final List<Boolean> shelved = new ArrayList<>();
  private State state = State.IDLE;
  private final ArrayDeque<Waiting> lines = new ArrayDeque<>();
  private long cutTo;

  /** A Cut is put in and not confirmed. */
  private boolean cutting;

  /** End of what the receiver has, as it said last, and as the ledger has it. */
  private long taken;

  private long takenNoted;
  private Batch out;
  private long restUntil;
  private long rest;
  private long askAt;
  private long tries;
  private long rewinds;
  private long shelvedCount;

  public ExportDecider(Terms terms, long seed, Actions actions) {
    this.terms = terms;
    this.actions = actions;
    random = new SplittableRandom(seed);
  }

  // ---- What the ledger says
  // ------------------------------------------------------------------------------

  /**
   * A confirmed entry, at recovery and later, in order.
   *
   * @param isLine whether it makes a line
   */
  public void confirmed(long now, Entry entry, boolean isLine) {
    if (isLine) {
      lines.addLast(new Waiting(entry.sequence(), now));
    }
    if (entry.what() instanceof Entry.Cut cut) {
      batches.add(new Batch(cut.from(), cut.to(), endBefore(batches.size())));
      shelved.add(false);
      cutTo = cut.to();
      cutting = false;
      // What came between the putting in and the confirmation is behind it, and in the next one.
      while (!lines.isEmpty() && lines.peekFirst().sequence() <= cutTo) {
        lines.pollFirst();
      }
    } else if (entry.what() instanceof Entry.Acked acked) {
      taken = acked.to();
      takenNoted = acked.to();
    } else if (entry.what() instanceof Entry.Shelved mark) {
      shelve(mark.to());
    }
  }

  /** The end that the batch at this place must follow: shelved ones are passed over. */
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

  // ---- Time
  // ----------------------------------------------------------------------------------------------

  /** To be called when something was confirmed or answered, and at {@link #nextDue}. */
  public void tick(long now) {
    if (state == State.RESTING && now - restUntil >= 0) {
      state = State.IDLE;
    }
    cut(now);
    if (state != State.IDLE) {
      return;
    }
    Batch next = next();
    if (next != null) {
      post(now, next);
    } else if (lastTakeable() != null && now - askAt >= 0) {
      post(now, lastTakeable()); // it has it, and says so; or it has forgotten, and says that
    }
  }

  private void cut(long now) {
    boolean old = !lines.isEmpty() && now - lines.peekFirst().since() >= terms.mostAgeNs();
    if (cutting || !old && lines.size() < terms.mostLines()) {
      return;
    }
    long to = 0;
    int taking = terms.mostLines();
    for (Waiting each : lines) {
      if (taking-- == 0) {
        break;
      }
      to = each.sequence();
    }
    cutting = true;
    actions.put(new Entry.Cut(cutTo + 1, to));
  }

  /** When {@link #tick} is wanted next; {@link Long#MAX_VALUE} for when something happens. */
  public long nextDue() {
    long cut = cutting || lines.isEmpty() ? NEVER : lines.peekFirst().since() + terms.mostAgeNs();
    return Math.min(
        cut,
        switch (state) {
          case POSTING -> NEVER;
          case RESTING -> restUntil;
          case IDLE -> lastTakeable() == null ? NEVER : askAt;
        });
  }

  /** The first batch that the receiver doesn't have all of. */
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

  private Batch lastTakeable() {
    for (int i = batches.size() - 1; i >= 0; i--) {
      if (!shelved.get(i)) {
        return batches.get(i);
      }
    }
    return null;
  }

  private void post(long now, Batch batch) {
    state = State.POSTING;
    out = batch;
    tries++;
    askAt = now + terms.askNs();
    actions.post(batch);
  }

  // ---- What the receiver says
  // ----------------------------------------------------------------------------

  /** Its answer: the end of what it has of this ledger now. */
  public void answered(long now, long end) {
    state = State.IDLE;
    Batch posted = out;
    out = null;
    if (end > cutTo) {
      actions.log(
          "export: the receiver says that it has entries up to "
              + end
              + "; batches were cut up to "
              + cutTo
              + " only: another ledger's name, or another receiver's answer");
      rest(now);
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
      rest = 0;
      if (taken > takenNoted) {
        takenNoted = taken;
        actions.put(new Entry.Acked(taken));
      }
    }
    if (end < posted.to() && !further && end >= posted.before()) {
      rest(now); // it took nothing of it and says nothing against it: not at once again
    }
    tick(now);
  }

  /** No answer, or one that says to come again. */
  public void unanswered(long now, long retryAfterNs) {
    out = null;
    rest(now);
    restUntil = Math.max(restUntil, now + Math.min(retryAfterNs, terms.mostRestNs()));
  }

  /** It will never take this batch. */
  public void turnedDown(long now, String why) {
    state = State.IDLE;
    Batch posted = out;
    out = null;
    actions.log(
        "export: the receiver turned down entries "
            + posted.from()
            + " to "
            + posted.to()
            + ": "
            + why
            + "; they are shelved: see ./nettletrail usage export --shelf");
    // At once for ourselves, or it would be posted again before the entry is confirmed.
    shelve(posted.to());
    actions.put(new Entry.Shelved(posted.to(), why));
    tick(now);
  }

  private void rest(long now) {
    state = State.RESTING;
    rest = Math.min(terms.mostRestNs(), Math.max(terms.leastRestNs(), rest * 2));
    restUntil = now + rest / 2 + random.nextLong(rest / 2 + 1);
  }

  /** All that what it does next depends on, times left out: for the exploration of its states. */
  String inner() {
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
        + takenNoted
        + ","
        + out;
  }

  public Status status() {
    long unposted = 0;
    for (int i = batches.size() - 1; i >= 0 && batches.get(i).to() > taken; i--) {
      unposted += shelved.get(i) ? 0 : 1;
    }
    return new Status(
        state.name(), cutTo, taken, unposted, lines.size(), tries, rewinds, shelvedCount);
  }
}
