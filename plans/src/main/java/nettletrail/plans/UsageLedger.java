package nettletrail.plans;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import nettletrail.core.Log;
import nettletrail.plans.export.ExportClient;
import nettletrail.plans.export.ExportDecider;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Disk;
import nettletrail.plans.ledger.Entry;
import nettletrail.plans.ledger.Ledger;
import nettletrail.plans.ledger.LedgerReader;
import nettletrail.plans.ledger.Line;
import nettletrail.plans.ledger.OpenUses;

/**
 * A ledger at work: uses in from any thread, one thread that writes and commits them in groups,
 * lines out to the receiver.
 *
 * <p>What is put in while a commit is under way goes into the next one: the slower the disk, the
 * larger the groups. The queue is bounded; who finds it full is told at once, and so is who asks
 * while the disk fails ({@link #isTaking}).
 */
public final class UsageLedger implements AutoCloseable {
  /**
   * How it goes about it.
   *
   * @param segmentBytes after which a new segment is begun
   * @param mostQueued entries that wait for a commit
   * @param mostLines lines kept in memory for the export; others are read again from the disk
   * @param rule for uses of which nobody knows
   */
  public record Terms(
      long segmentBytes,
      int mostQueued,
      int mostLines,
      OpenUses.Rule rule,
      ExportDecider.Terms export) {}

  private static final long RETRY_MS = 100;
  private static final long LOOK_MS = 200;
  private static final long MS = 1_000_000L;

  private interface Op {
    void run() throws IOException;
  }

  private final Terms terms;
  private final Disk disk;
  private final ExportClient client;
  private final LongSupplier wallMs;
  private final BlockingQueue<Op> ops;
  private final AtomicLong handles = new AtomicLong();
  private final Thread thread;
  private final Ledger ledger;
  private ExportDecider decider;

  /** By handle: the sequence of its Sent, and the use. */
  private final Map<Long, Long> sent = new HashMap<>();

  private final Map<Long, Entry.Use> uses = new HashMap<>();

  /** Sequences of commits to come, and who waits for them. */
  private final NavigableMap<Long, List<Runnable>> waiting = new TreeMap<>();

  private final NavigableMap<Long, Line> lines = new TreeMap<>();
  private volatile boolean taking = true;
  private volatile boolean closed;

  /**
   * A new life's ledger in an empty folder.
   *
   * @param client null for no export
   */
  public static UsageLedger begin(
      Terms terms, Disk disk, String door, String life, ExportClient client, LongSupplier wallMs)
      throws IOException {
    UsageLedger made =
        new UsageLedger(
            terms,
            disk,
            client,
            wallMs,
            Ledger.begin(disk, door, life, terms.segmentBytes(), wallMs.getAsLong()));
    made.start();
    return made;
  }

  /**
   * Takes over one whose process is dead: uses that it left open are ended by the rule, and the
   * rest is exported.
   *
   * @return null if there is nothing in the folder
   */
  public static UsageLedger adopt(
      Terms terms,
      Disk disk,
      ExportClient client,
      LongSupplier wallMs,
      Consumer<LedgerReader.Found> found)
      throws IOException {
    List<Entry> entries = new ArrayList<>();
    Ledger ledger =
        Ledger.adopt(disk, terms.segmentBytes(), wallMs.getAsLong(), entries::add, found);
    if (ledger == null) {
      return null;
    }
    UsageLedger made = new UsageLedger(terms, disk, client, wallMs, ledger);
    OpenUses open = new OpenUses();
    for (Entry each : entries) {
      open.add(each);
      made.hear(each);
    }
    open.ends("its front door died before it knew", terms.rule()).forEach(made::put);
    made.start();
    return made;
  }

  private UsageLedger(
      Terms terms, Disk disk, ExportClient client, LongSupplier wallMs, Ledger ledger) {
    this.terms = terms;
    this.disk = disk;
    this.client = client;
    this.wallMs = wallMs;
    this.ledger = ledger;
    ops = new ArrayBlockingQueue<>(terms.mostQueued());
    decider = decider();
    thread = new Thread(this::run, "usage " + ledger.door());
    thread.setDaemon(true);
  }

  private ExportDecider decider() {
    return new ExportDecider(
        terms.export(),
        ledger.door().hashCode(),
        new ExportDecider.Actions() {
          @Override
          public void put(Entry.What what) {
            UsageLedger.this.put(what);
          }

          @Override
          public void post(Batch batch) {
            UsageLedger.this.post(batch);
          }

          @Override
          public void log(String line) {
            Log.line(line);
          }
        });
  }

  private void start() {
    thread.start();
  }

  // ---- Uses, from any thread
  // -----------------------------------------------------------------------------

  /** Whether uses can be written down now: the disk takes them, and the queue has room. */
  public boolean isTaking() {
    return taking && ops.remainingCapacity() > 0;
  }

  /**
   * A request's first attempt goes out.
   *
   * @return what it is called from here on; 0 if it can't be written down now
   */
  public long sent(Entry.Use use) {
    long handle = handles.incrementAndGet();
    return offer(
            () -> {
              uses.put(handle, use);
              sent.put(handle, put(new Entry.Sent(use)));
            })
        ? handle
        : 0;
  }

  /**
   * A good answer came.
   *
   * @param settled whether the amount is the backend's word
   * @param confirmed on the ledger's thread, once it counts
   * @return false if the queue is full: nothing is written, and {@code confirmed} isn't called
   */
  public boolean used(long handle, long milli, boolean settled, Runnable confirmed) {
    return offer(
        () ->
            waiting
                .computeIfAbsent(
                    put(new Entry.Used(sent.remove(handle), uses.remove(handle), milli, settled)),
                    sequence -> new ArrayList<>())
                .add(confirmed));
  }

  /** It may have run, and nobody will tell. */
  public boolean unknown(long handle, String why) {
    return offer(
        () -> {
          Entry.Use use = uses.remove(handle);
          put(
              new Entry.Unknown(
                  sent.remove(handle),
                  use,
                  why,
                  terms.rule() == OpenUses.Rule.GUESS ? use.guessMilli() : 0));
        });
  }

  /** Surely nothing ran. */
  public boolean unused(long handle) {
    return offer(
        () -> {
          uses.remove(handle);
          put(new Entry.Unused(sent.remove(handle)));
        });
  }

  /** The true amount of a use that is confirmed already; named by its line. */
  public boolean settled(Line line, long milli) {
    Entry.Use use =
        new Entry.Use(
            line.request(),
            line.customer(),
            line.plan(),
            line.planNumber(),
            line.requestClass(),
            line.guessMilli());
    return offer(() -> put(new Entry.Settled(line.sequence(), use, line.milli(), milli)));
  }

  /** A correction, by staff. */
  public boolean credit(Entry.Credit credit) {
    return offer(() -> put(credit));
  }

  private boolean offer(Op op) {
    return !closed && ops.offer(op);
  }

  // ---- The thread
  // ----------------------------------------------------------------------------------------

  private long put(Entry.What what) {
    return ledger.put(what, wallMs.getAsLong(), System.nanoTime());
  }

  private void run() {
    List<Op> group = new ArrayList<>();
    try {
      work(); // first what an adoption put in, or whoever asks would be told that there is nothing
      // to do
    } catch (InterruptedException e) {
      return;
    }
    while (!closed) {
      try {
        long wait = Math.max(0, Math.min(LOOK_MS * MS, decider.nextDue() - System.nanoTime()));
        Op first = ops.poll(ledger.unconfirmed() > 0 ? 0 : wait, TimeUnit.NANOSECONDS);
        if (first != null) {
          group.add(first);
          ops.drainTo(group);
        }
        for (Op each : group) {
          each.run();
        }
        group.clear();
        work();
      } catch (InterruptedException e) {
        return;
      } catch (IOException | RuntimeException e) {
        group.clear();
        Log.line("usage: the ledger's thread", e);
      }
    }
  }

  private void work() throws InterruptedException {
    try {
      for (Entry each : ledger.commit()) {
        hear(each);
      }
      if (!taking) {
        taking = true;
        Log.line("usage: the disk takes entries again");
      }
      while (!waiting.isEmpty() && waiting.firstKey() <= ledger.confirmed()) {
        waiting.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      if (ledger.isFenced()) {
        retake();
      }
      if (client != null) {
        decider.tick(System.nanoTime());
      }
    } catch (Ledger.Fenced e) {
      retake();
    } catch (IOException e) {
      if (taking) {
        taking = false;
        Log.line(
            "usage: the disk does not take entries ("
                + e.getMessage()
                + "); "
                + ledger.unconfirmed()
                + " wait and are tried again; free some room, or see to the disk");
      }
      Thread.sleep(RETRY_MS);
    }
  }

  private void hear(Entry entry) {
    Line line = Line.of(entry);
    if (line != null) {
      lines.put(entry.sequence(), line);
      if (lines.size() > terms.mostLines()) {
        lines.pollFirstEntry();
      }
    }
    decider.confirmed(System.nanoTime(), entry, line != null);
  }

  /** Another process thought that this one was dead. */
  private void retake() throws InterruptedException {
    Log.line("usage: another process took the ledger over; taking it back");
    try {
      decider = decider();
      lines.clear();
      long known = ledger.confirmed();
      Map<Long, Long> renumbered = ledger.retake(wallMs.getAsLong(), this::hear);
      sent.replaceAll(
          (handle, sequence) ->
              sequence > known ? renumbered.getOrDefault(sequence, sequence) : sequence);
      List<Runnable> all = new ArrayList<>();
      waiting.values().forEach(all::addAll);
      waiting.clear();
      // They count once all that was put in again does.
      waiting.put(ledger.last(), all);
    } catch (IOException e) {
      Log.line("usage: can't take the ledger back; trying again: " + e.getMessage());
      Thread.sleep(RETRY_MS);
    }
  }

  private void post(Batch batch) {
    List<Line> of = new ArrayList<>(lines.subMap(batch.from(), true, batch.to(), true).values());
    if (lines.isEmpty() || lines.firstKey() > batch.from()) {
      of.clear();
      try {
        LedgerReader.read(
            disk,
            entry -> {
              Line line =
                  entry.sequence() >= batch.from() && entry.sequence() <= batch.to()
                      ? Line.of(entry)
                      : null;
              if (line != null) {
                of.add(line);
              }
            });
      } catch (IOException e) {
        Log.line("usage: a batch can't be read from the disk: " + e.getMessage());
        ops.offer(() -> decider.unanswered(System.nanoTime(), 0));
        return;
      }
    }
    ExportDecider asked = decider;
    client.post(
        ledger.door() + "/" + ledger.life(),
        batch,
        of,
        answer -> {
          Op told =
              () -> {
                if (asked == decider) {
                  told(answer);
                }
              };
          while (!closed && !offerSoon(told)) {
            continue;
          }
        });
  }

  private boolean offerSoon(Op op) {
    try {
      return ops.offer(op, 1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  private void told(ExportClient.Answer answer) {
    long now = System.nanoTime();
    if (answer instanceof ExportClient.Has has) {
      decider.answered(now, has.end());
    } else if (answer instanceof ExportClient.Later later) {
      decider.unanswered(now, later.retryAfterNs());
    } else if (answer instanceof ExportClient.Never never) {
      decider.turnedDown(now, never.why());
    }
  }

  /** What the export does; for operators. From any thread; null if it doesn't answer in time. */
  public ExportDecider.Status exportStatus() throws InterruptedException {
    BlockingQueue<ExportDecider.Status> answer = new ArrayBlockingQueue<>(1);
    return offer(() -> answer.add(decider.status())) ? answer.poll(5, TimeUnit.SECONDS) : null;
  }

  /**
   * Ends as a killed process does: what waits is not written. For a proper end, wait for the uses
   * to be confirmed first.
   */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(TimeUnit.SECONDS.toMillis(5));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ledger.close();
  }
}
