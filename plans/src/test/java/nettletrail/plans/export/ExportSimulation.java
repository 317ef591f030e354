package nettletrail.plans.export;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Entry;
import nettletrail.plans.ledger.FaultyDisk;
import nettletrail.plans.ledger.Ledger;
import nettletrail.plans.ledger.Line;
import nettletrail.plans.ledger.UnfinishedUses;

/**
 * A front door, another process that may take its ledger over, a receiver and the way between them:
 * the ledger, the reader and the decider are the real ones; what happens next is chosen from
 * outside, one step at a time.
 */
final class ExportSimulation {
  private static final long SEGMENT = 300;

  /** Each acquires a token, so that the states would be infinite. */
  private static final int MAX_TAKEOVERS = 2;

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
    private UnfinishedUses open = new UnfinishedUses();

    Node(String name) {
      this.name = name;
    }

    boolean alive() {
      return ledger != null;
    }

    @Override
    public void put(Entry.Event what) {
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
          confirmedUnits +=
              each.event() instanceof Entry.Used used && mine(used) ? used.milli() : 0;
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
        open = new UnfinishedUses();
        List<Entry> all = new ArrayList<>();
        ledger.reclaim(1, all::add);
        for (Entry each : all) {
          // What it wrote and wasn't sure of counts now.
          confirmedUnits +=
              each.event() instanceof Entry.Used used && mine(used) ? used.milli() : 0;
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
              ? decider.stateText()
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
  private final SimulatedReceiver receiver;
  private final Deciders deciders;
  private final FaultyDisk disk = new FaultyDisk(1);
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
  ExportSimulation(
      int uses, int faults, boolean forgets, SimulatedReceiver receiver, Deciders deciders) {
    forgot = !forgets;
    this.uses = uses;
    this.faults = faults;
    this.receiver = receiver;
    this.deciders = deciders;
  }

  /** What may happen now. */
  List<ExportStep> steps() {
    List<ExportStep> steps = new ArrayList<>();
    for (ExportStep step : ExportStep.values()) {
      if (may(step)) {
        steps.add(step);
      }
    }
    return steps;
  }

  private boolean may(ExportStep step) {
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
      case ADOPT -> began && !b.alive() && adoptions < MAX_TAKEOVERS && (faults > 0 || !a.alive());
      case FORGET -> faults > 0 && !forgot && receiver.end > 0;
    };
  }

  void step(ExportStep step) throws IOException {
    now++;
    switch (step) {
      case BEGIN -> begin();
      case USE -> use();
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

  private void begin() throws IOException {
    began = true;
    a.ledger = Ledger.begin(disk, "n0", "l", SEGMENT, 1);
    a.decider = deciders.make(a);
  }

  private void use() {
    used++;
    uncertain.add((long) used);
    Entry.Use use = new Entry.Use(used, 7, "p", 1, "c", 1);
    a.ledger.put(new Entry.Used(0, use, 1 << used, false), 1, 1);
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
    b.open = new UnfinishedUses();
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
    node.decider.attemptFailed(now, 0);
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
      proceed(a);
      proceed(b);
      if (!late.isEmpty()) {
        take(late.pollFirst());
      }
    }
  }

  /** Does without a fault whatever is possible at a node. */
  private void proceed(Node node) throws IOException {
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
    List<Object> nodes = List.of(a.state(), b.state(), receiver.end, receiver.billed, late);
    List<Object> counts = List.of(used, faults, forgot, confirmedUnits, adoptions);
    return nodes + "" + counts + disk.state() + "," + disk.failSyncs + uncertain;
  }
}
