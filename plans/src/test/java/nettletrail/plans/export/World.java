package nettletrail.plans.export;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Entry;
import nettletrail.plans.ledger.Ledger;
import nettletrail.plans.ledger.Line;
import nettletrail.plans.ledger.OpenUses;
import nettletrail.plans.ledger.SimDisk;

/**
 * A front door, another process that may take its ledger over, a receiver and the way between them:
 * the ledger, the reader and the decider are the real ones; what happens next is chosen from
 * outside, one step at a time.
 */
final class World {
  /** What may happen next. */
  enum Step {
    BEGIN,
    USE,
    FAIL,
    COMMIT_A,
    COMMIT_B,
    DELIVER_A,
    DELIVER_B,
    LOSE_A,
    LOSE_B,
    REPEAT_A,
    REPEAT_B,
    ANSWER_A,
    ANSWER_B,
    LATE,
    DIE_A,
    POWER,
    DIE_B,
    ADOPT,
    FORGET
  }

  private static final long SEGMENT = 300;

  /** Each makes a token, so that there would be no end of states. */
  private static final int MOST_ADOPTIONS = 2;

  /** How the receiver takes batches in; a test may break it. */
  static class Receiver {
    long end;

    /** What each line's name was billed with, each time. */
    final Map<Long, List<Long>> billed = new LinkedHashMap<>();

    /** Returns the end that it has then. */
    long take(Batch batch, List<Line> lines) {
      if (batch.before() <= end && batch.to() > end) {
        lines.stream()
            .filter(line -> line.sequence() > end)
            .forEach(
                line ->
                    billed
                        .computeIfAbsent(line.sequence(), name -> new ArrayList<>())
                        .add(line.milli()));
        end = batch.to();
      }
      return end;
    }

    /** Another one like it, which has heard of nothing. */
    Receiver anew() {
      return new Receiver();
    }

    long units() {
      return billed.values().stream().flatMap(List::stream).mapToLong(Long::longValue).sum();
    }
  }

  /** One that goes by no end: what comes again is added again. */
  static final class AddsAll extends Receiver {
    @Override
    long take(Batch batch, List<Line> lines) {
      long before = end;
      end = Math.min(end, batch.from() - 1);
      super.take(batch, lines);
      end = Math.max(end, before);
      return end;
    }

    @Override
    Receiver anew() {
      return new AddsAll();
    }
  }

  /** Makes a decider for a node; a test may put a broken one there. */
  interface Deciders {
    ExportDecider make(ExportDecider.Actions actions);
  }

  private final class Node implements ExportDecider.Actions {
    private final String name;
    private Ledger ledger;
    private ExportDecider decider;
    private Batch posted;

    /** On its way to the receiver, or null; and the answer on its way back. */
    private Batch going;

    private Long coming;
    private OpenUses open = new OpenUses();

    Node(String name) {
      this.name = name;
    }

    boolean alive() {
      return ledger != null;
    }

    @Override
    public void put(Entry.What what) {
      ledger.put(what, 1, 1);
    }

    @Override
    public void post(Batch batch) {
      posted = batch;
      going = batch;
      coming = null;
    }

    @Override
    public void log(String line) {}

    void hear(Entry entry) {
      entries.put(entry.sequence(), entry);
      open.add(entry);
      decider.confirmed(now, entry, Line.of(entry) != null);
    }

    void commit() throws IOException {
      try {
        for (Entry each : ledger.commit()) {
          confirmedUnits += each.what() instanceof Entry.Used used && mine(used) ? used.milli() : 0;
          hear(each);
        }
      } catch (Ledger.Fenced e) {
        if (this == b) {
          die(); // its owner is back
          return;
        }
        // It was taken for dead and isn't: it takes its ledger back, with all that it had not heard
        // of.
        posted = null;
        going = null;
        coming = null;
        decider = deciders.make(this);
        open = new OpenUses();
        List<Entry> all = new ArrayList<>();
        ledger.retake(1, all::add);
        for (Entry each : all) {
          // What it wrote and wasn't sure of counts now.
          confirmedUnits += each.what() instanceof Entry.Used used && mine(used) ? used.milli() : 0;
          hear(each);
        }
      }
      decider.tick(now);
    }

    private boolean mine(Entry.Used used) {
      return uncertain.remove(used.use().request());
    }

    void die() {
      ledger = null;
      decider = null;
      posted = null;
      // What is on its way goes on: the network doesn't know.
    }

    String state() {
      return name
          + (alive()
              ? decider.inner()
                  + "|"
                  + ledger.token()
                  + ","
                  + ledger.confirmed()
                  + ","
                  + ledger.unconfirmed()
              : "-")
          + "|"
          + posted
          + "|"
          + going
          + "|"
          + coming;
    }
  }

  private final int uses;
  private final Receiver receiver;
  private final Deciders deciders;
  private final SimDisk disk = new SimDisk(1);
  private final Node a = new Node("a");
  private final Node b = new Node("b");
  private final Map<Long, Entry> entries = new HashMap<>();

  /** Requests whose client was told nothing yet. */
  private final java.util.Set<Long> uncertain = new java.util.HashSet<>();

  /** A copy of a batch that comes later than it should. */
  private final Deque<Batch> late = new ArrayDeque<>();

  private long now;
  private int used;
  private int faults;
  private int adoptions;
  private boolean began;
  private boolean forgot;

  /** Milli-units whose clients were told that they are served, or that count since. */
  long confirmedUnits;

  /**
   * @param faults that may happen
   * @param forgets whether the receiver may be restored from an old backup
   */
  World(int uses, int faults, boolean forgets, Receiver receiver, Deciders deciders) {
    forgot = !forgets;
    this.uses = uses;
    this.faults = faults;
    this.receiver = receiver;
    this.deciders = deciders;
  }

  /** What may happen now. */
  List<Step> steps() {
    List<Step> steps = new ArrayList<>();
    for (Step step : Step.values()) {
      if (may(step)) {
        steps.add(step);
      }
    }
    return steps;
  }

  private boolean may(Step step) {
    return switch (step) {
      case BEGIN -> !began;
      case USE -> a.alive() && used < uses && a.ledger.unconfirmed() < 2;
      case FAIL -> a.alive() && faults > 0 && a.ledger.unconfirmed() > 0 && disk.failSyncs == 0;
      case COMMIT_A -> a.alive() && a.ledger.unconfirmed() > 0;
      case COMMIT_B -> b.alive() && b.ledger.unconfirmed() > 0;
      case DELIVER_A -> a.going != null;
      case DELIVER_B -> b.going != null;
      case LOSE_A -> faults > 0 && a.going != null && a.posted != null;
      case LOSE_B -> faults > 0 && b.going != null && b.posted != null;
      case REPEAT_A -> faults > 0 && late.isEmpty() && a.going != null;
      case REPEAT_B -> faults > 0 && late.isEmpty() && b.going != null;
      case ANSWER_A -> a.coming != null && a.posted != null;
      case ANSWER_B -> b.coming != null && b.posted != null;
      case LATE -> !late.isEmpty();
      case DIE_A, POWER -> faults > 0 && a.alive();
      case DIE_B -> faults > 0 && b.alive();
      case ADOPT -> began && !b.alive() && adoptions < MOST_ADOPTIONS && (faults > 0 || !a.alive());
      case FORGET -> faults > 0 && !forgot && receiver.end > 0;
    };
  }

  void step(Step step) throws IOException {
    now++;
    switch (step) {
      case BEGIN -> {
        began = true;
        a.ledger = Ledger.begin(disk, "n0", "l", SEGMENT, 1);
        a.decider = deciders.make(a);
      }
      case USE -> {
        used++;
        uncertain.add((long) used);
        a.ledger.put(
            new Entry.Used(0, new Entry.Use(used, 7, "p", 1, "c", 1), 1 << used, false), 1, 1);
      }
      case FAIL -> {
        faults--;
        disk.failSyncs = 1;
      }
      case COMMIT_A -> commit(a);
      case COMMIT_B -> commit(b);
      case DELIVER_A -> deliver(a);
      case DELIVER_B -> deliver(b);
      case LOSE_A -> lose(a);
      case LOSE_B -> lose(b);
      case REPEAT_A -> repeat(a);
      case REPEAT_B -> repeat(b);
      case ANSWER_A -> answer(a);
      case ANSWER_B -> answer(b);
      case LATE -> take(late.pollFirst());
      case DIE_A -> {
        faults--;
        a.die();
      }
      case POWER -> {
        faults--;
        a.die();
        b.die();
        disk.allUnsyncedIsLost();
      }
      case DIE_B -> {
        faults--;
        b.die();
      }
      case ADOPT -> adopt();
      case FORGET -> {
        faults--;
        forgot = true;
        receiver.end = 0; // restored from before its first batch, its bills with it
        receiver.billed.clear();
      }
    }
  }

  private void commit(Node node) throws IOException {
    try {
      node.commit();
    } catch (Ledger.Fenced e) {
      throw e;
    } catch (IOException e) {
      // The disk would not; it is tried again.
    }
  }

  private void adopt() throws IOException {
    adoptions++;
    faults -= a.alive() ? 1 : 0;
    b.decider = deciders.make(b);
    b.open = new OpenUses();
    List<Entry> all = new ArrayList<>();
    try {
      b.ledger =
          Ledger.adopt(
              disk,
              SEGMENT,
              1,
              all::add,
              found -> {
                if (found.missing() > 0) {
                  throw new AssertionError("entries are missing: " + found);
                }
              });
    } catch (IOException e) {
      return; // the disk would not; its process ends
    }
    if (b.ledger == null) {
      return;
    }
    all.forEach(b::hear);
    b.decider.tick(now);
  }

  private List<Line> lines(Batch batch) {
    List<Line> lines = new ArrayList<>();
    for (long i = batch.from(); i <= batch.to(); i++) {
      Line line = entries.containsKey(i) ? Line.of(entries.get(i)) : null;
      if (line != null) {
        lines.add(line);
      }
    }
    return lines;
  }

  private long take(Batch batch) {
    return receiver.take(batch, lines(batch));
  }

  private void deliver(Node node) {
    Batch batch = node.going;
    node.going = null;
    long end = take(batch);
    node.coming = node.posted == null ? null : (Long) end;
  }

  private void lose(Node node) {
    faults--;
    node.going = null;
    node.posted = null;
    node.decider.unanswered(now, 0);
    now += 5;
    node.decider.tick(now);
  }

  private void repeat(Node node) {
    faults--;
    late.add(node.going);
  }

  private void answer(Node node) {
    long end = node.coming;
    node.coming = null;
    node.posted = null;
    node.decider.answered(now, end);
    now += 5;
    node.decider.tick(now);
  }

  /** Everything goes well from here on, with somebody there. */
  void settle() throws IOException {
    faults = 0;
    disk.failSyncs = 0;
    for (int i = 0; i < 200; i++) {
      Node alive = a.alive() ? a : b;
      if (!alive.alive() && began) {
        adopt();
        alive = b;
      }
      if (!alive.alive()) {
        return;
      }
      now += 2_000_000; // asks the receiver too
      if (b.alive() && b.ledger.isFenced()) {
        b.die(); // it looks now and then, and its owner was back
        alive = a.alive() ? a : b;
        if (!alive.alive()) {
          adopt();
        }
      }
      for (Node node : List.of(a, b)) {
        if (node.alive() && node.ledger.unconfirmed() > 0) {
          commit(node);
        }
        if (node.going != null) {
          deliver(node);
        }
        if (node.coming != null && node.posted != null) {
          answer(node);
        }
        if (node.alive()) {
          node.decider.tick(now);
        }
      }
      if (!late.isEmpty()) {
        take(late.pollFirst());
      }
    }
  }

  /** No line twice, at any time; null if all is well. */
  String wrong() {
    for (Map.Entry<Long, List<Long>> each : receiver.billed.entrySet()) {
      if (each.getValue().size() > 1) {
        return "line " + each.getKey() + " was billed " + each.getValue().size() + " times";
      }
    }
    return null;
  }

  /** After {@link #settle}: what is billed is what was confirmed. */
  String wrongAtTheEnd() {
    String wrong = wrong();
    // What was written and never told to a client may count or not; what was told must.
    long open = uncertain.stream().mapToLong(request -> 1L << request).sum();
    long billed = receiver.units();
    boolean holds = (billed & ~open) == (confirmedUnits & ~open) && (confirmedUnits & ~billed) == 0;
    return wrong != null
        ? wrong
        : holds ? null : "confirmed " + confirmedUnits + ", billed " + billed + ", open " + open;
  }

  String state() {
    return a.state()
        + b.state()
        + receiver.end
        + receiver.billed
        + late
        + used
        + ","
        + faults
        + forgot
        + disk.state()
        + disk.failSyncs
        + uncertain
        + confirmedUnits
        + adoptions;
  }
}
