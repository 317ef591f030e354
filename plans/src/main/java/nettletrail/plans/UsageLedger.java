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
import nettletrail.plans.ledger.UnfinishedUses;

/**
 * Runs a ledger: takes uses from any thread, commits them in groups on a thread of its own, and
 * exports their lines.
 *
 * <p>What arrives during a commit goes into the next one: the slower the disk, the larger the
 * groups. The queue is bounded; callers learn at once when it is full or the disk fails ({@link
 * #isAccepting}).
 */
public final class UsageLedger implements AutoCloseable {
  private static final long RETRY_MS = 100;
  private static final long MAX_WAIT_MS = 200;
  private static final long MS = 1_000_000L;

  /** How long callers wait for the ledger's thread, in seconds. */
  private static final long MAX_CALL_S = 5;

  private interface Task {
    void run() throws IOException;
  }

  private final UsageLedgerSettings settings;
  private final ExportClient client;
  private final LongSupplier wallMs;
  private final BlockingQueue<Task> tasks;
  private final AtomicLong handles = new AtomicLong();
  private final Thread thread;
  private final Ledger ledger;
  private ExportDecider decider;

  /** The sequence of the Sent, by handle. */
  private final Map<Long, Long> sent = new HashMap<>();

  private final Map<Long, Entry.Use> uses = new HashMap<>();

  /** Callers that wait for a commit, by sequence. */
  private final NavigableMap<Long, List<Runnable>> waiting = new TreeMap<>();

  private final BatchLines lines;
  private volatile boolean accepting = true;
  private volatile boolean closed;

  /**
   * Starts the ledger of a new incarnation in an empty folder.
   *
   * @param client null for no export
   */
  public static UsageLedger begin(
      UsageLedgerSettings settings,
      Disk disk,
      String door,
      String life,
      ExportClient client,
      LongSupplier wallMs)
      throws IOException {
    UsageLedger made =
        new UsageLedger(
            settings,
            disk,
            client,
            wallMs,
            Ledger.begin(disk, door, life, settings.segmentBytes(), wallMs.getAsLong()));
    made.start();
    return made;
  }

  /**
   * Takes over the ledger of a dead process: uses without an outcome are ended by the rule, and the
   * rest is exported.
   *
   * @return null if there is nothing in the folder
   */
  public static UsageLedger adopt(
      UsageLedgerSettings settings,
      Disk disk,
      ExportClient client,
      LongSupplier wallMs,
      Consumer<LedgerReader.LedgerContents> found)
      throws IOException {
    List<Entry> entries = new ArrayList<>();
    Ledger ledger =
        Ledger.adopt(disk, settings.segmentBytes(), wallMs.getAsLong(), entries::add, found);
    if (ledger == null) {
      return null;
    }
    UsageLedger made = new UsageLedger(settings, disk, client, wallMs, ledger);
    UnfinishedUses open = new UnfinishedUses();
    for (Entry each : entries) {
      open.add(each);
      made.entryConfirmed(each);
    }
    open.closingEntries("its front door died before it knew", settings.rule()).forEach(made::put);
    made.start();
    return made;
  }

  private UsageLedger(
      UsageLedgerSettings settings,
      Disk disk,
      ExportClient client,
      LongSupplier wallMs,
      Ledger ledger) {
    this.settings = settings;
    this.lines = new BatchLines(disk, settings.maxLines());
    this.client = client;
    this.wallMs = wallMs;
    this.ledger = ledger;
    tasks = new ArrayBlockingQueue<>(settings.maxQueued());
    decider = decider();
    thread = new Thread(this::run, "usage " + ledger.door());
    thread.setDaemon(true);
  }

  private ExportDecider decider() {
    return new ExportDecider(
        settings.export(),
        ledger.door().hashCode(),
        new ExportDecider.Actions() {
          @Override
          public void put(Entry.Event what) {
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

  /** Whether uses can be recorded now: the disk works and the queue has room. */
  public boolean isAccepting() {
    return accepting && tasks.remainingCapacity() > 0;
  }

  /**
   * A request's first attempt is about to be sent.
   *
   * @return a handle for the use; 0 if it can't be recorded now
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
   * A successful response arrived.
   *
   * @param settled whether the backend reported the amount
   * @param confirmed run on the ledger's thread once the use is confirmed
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

  /** The use may have run, which will never be known. */
  public boolean unknown(long handle, String why) {
    return offer(
        () -> {
          Entry.Use use = uses.remove(handle);
          put(
              new Entry.Unknown(
                  sent.remove(handle),
                  use,
                  why,
                  settings.rule() == UnfinishedUses.Rule.GUESS ? use.guessMilli() : 0));
        });
  }

  /** The use certainly did not run. */
  public boolean unused(long handle) {
    return offer(
        () -> {
          uses.remove(handle);
          put(new Entry.Unused(sent.remove(handle)));
        });
  }

  /** The true amount of a use that is confirmed already, identified by its line. */
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

  /** A correction by an operator. */
  public boolean credit(Entry.Credit credit) {
    return offer(() -> put(credit));
  }

  private boolean offer(Task task) {
    return !closed && tasks.offer(task);
  }

  private long put(Entry.Event what) {
    return ledger.put(what, wallMs.getAsLong(), System.nanoTime());
  }

  private void run() {
    List<Task> group = new ArrayList<>();
    try {
      work(); // commits what a takeover appended before the first call
    } catch (InterruptedException e) {
      return;
    }
    while (!closed) {
      try {
        long wait = Math.max(0, Math.min(MAX_WAIT_MS * MS, decider.nextDue() - System.nanoTime()));
        Task first = tasks.poll(ledger.unconfirmed() > 0 ? 0 : wait, TimeUnit.NANOSECONDS);
        if (first != null) {
          group.add(first);
          tasks.drainTo(group);
        }
        for (Task each : group) {
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
        entryConfirmed(each);
      }
      if (!accepting) {
        accepting = true;
        Log.line("usage: the disk takes entries again");
      }
      while (!waiting.isEmpty() && waiting.firstKey() <= ledger.confirmed()) {
        waiting.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      if (ledger.isFenced()) {
        reclaim();
      }
      if (client != null) {
        decider.tick(System.nanoTime());
      }
    } catch (Ledger.Fenced e) {
      reclaim();
    } catch (IOException e) {
      if (accepting) {
        accepting = false;
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

  private void entryConfirmed(Entry entry) {
    Line line = Line.of(entry);
    lines.add(line);
    decider.confirmed(System.nanoTime(), entry, line != null);
  }

  /** Takes the ledger back from a process that took this one for dead. */
  private void reclaim() throws InterruptedException {
    Log.line("usage: another process took the ledger over; taking it back");
    try {
      decider = decider();
      lines.clear();
      long known = ledger.confirmed();
      Map<Long, Long> newSequences = ledger.reclaim(wallMs.getAsLong(), this::entryConfirmed);
      sent.replaceAll(
          (handle, sequence) ->
              sequence > known ? newSequences.getOrDefault(sequence, sequence) : sequence);
      List<Runnable> all = new ArrayList<>();
      waiting.values().forEach(all::addAll);
      waiting.clear();
      // They are confirmed once everything that was appended again is.
      waiting.put(ledger.last(), all);
    } catch (IOException e) {
      Log.line("usage: can't take the ledger back; trying again: " + e.getMessage());
      Thread.sleep(RETRY_MS);
    }
  }

  private void post(Batch batch) {
    try {
      client.post(ledger.door() + "/" + ledger.life(), batch, lines.of(batch), callback());
    } catch (IOException e) {
      Log.line("usage: a batch can't be read from the disk: " + e.getMessage());
      tasks.offer(() -> decider.attemptFailed(System.nanoTime(), 0));
    }
  }

  /** Passes a response to the ledger's thread; dropped if the ledger was reclaimed meanwhile. */
  private Consumer<ExportClient.Answer> callback() {
    ExportDecider poster = decider;
    return answer -> {
      Task task =
          () -> {
            if (poster == decider) {
              receiverAnswered(answer);
            }
          };
      while (!closed && !offerSoon(task)) {
        continue;
      }
    };
  }

  private boolean offerSoon(Task task) {
    try {
      return tasks.offer(task, 1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  private void receiverAnswered(ExportClient.Answer answer) {
    long now = System.nanoTime();
    if (answer instanceof ExportClient.Acknowledged has) {
      decider.answered(now, has.end());
    } else if (answer instanceof ExportClient.RetryLater later) {
      decider.attemptFailed(now, later.retryAfterNs());
    } else if (answer instanceof ExportClient.Rejected never) {
      decider.rejected(now, never.why());
    }
  }

  /** Figures of the export, on any thread; null if they are not there in time. */
  public ExportDecider.Status exportStatus() throws InterruptedException {
    BlockingQueue<ExportDecider.Status> answer = new ArrayBlockingQueue<>(1);
    return offer(() -> answer.add(decider.status()))
        ? answer.poll(MAX_CALL_S, TimeUnit.SECONDS)
        : null;
  }

  /**
   * Ends like a killed process: queued entries are not written. For a graceful end, wait for the
   * confirmations first.
   */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(TimeUnit.SECONDS.toMillis(MAX_CALL_S));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ledger.close();
  }
}
