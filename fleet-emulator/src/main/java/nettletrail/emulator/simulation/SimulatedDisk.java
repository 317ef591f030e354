package nettletrail.emulator.simulation;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A machine's disk, used by one thread of its process. A call returns at once but takes effect at a
 * later instant of virtual time, in the order of the calls. If the process ends before that
 * instant, the call never takes effect. {@link #busyUntil} is the instant at which all calls made
 * so far have taken effect.
 */
public final class SimulatedDisk {
  /** The mean time of a call, in nanoseconds. */
  public static final long DEFAULT_LATENCY = VirtualTime.MILLISECOND / 2;

  private static final long UNLIMITED = Long.MAX_VALUE;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Deque<Effect> pending = new ArrayDeque<>();

  /** The content after the calls that have taken effect. */
  private DiskContent applied = new DiskContent();

  /** The content after all calls made so far, as the process reads it. */
  private DiskContent view = new DiskContent();

  private long busyUntil;
  private long latency = DEFAULT_LATENCY;
  private long hangsUntil;
  private long freeBytes = UNLIMITED;
  private boolean ignoresSyncs;
  private DiskContent.Loss lossOfPower = DiskContent.Loss.SOME;

  /**
   * @param random draws the times of calls and the result of a loss of power
   */
  public SimulatedDisk(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  /** The instant at which all calls made so far have taken effect, in nanoseconds. */
  public long busyUntil() {
    return Math.max(busyUntil, time.now());
  }

  /**
   * The full names of the files in one folder; a folder's name ends in a slash, that at the top is
   * empty.
   */
  public List<String> list(String folder) {
    return view.list(folder);
  }

  /** A file's bytes. */
  public byte[] read(String name) throws FileNotFoundException {
    byte[] content = view.read(name);
    if (content == null) {
      throw new FileNotFoundException(name);
    }
    return content.clone();
  }

  /** Creates an empty file; an existing one of that name is replaced. */
  public void create(String name) throws IOException {
    checkFree(0);
    call(content -> content.create(name));
  }

  /** Appends to a file. If the disk fills up, the bytes that fit are written and the call fails. */
  public void append(String name, byte[] bytes) throws IOException {
    int fitting = (int) Math.min(bytes.length, freeBytes);
    byte[] written = Arrays.copyOf(bytes, fitting);
    takeSpace(fitting);
    call(content -> content.append(name, written));
    checkFree(bytes.length - fitting);
  }

  /** Makes a file's bytes durable. */
  public void sync(String name) {
    call(
        content -> {
          if (!ignoresSyncs) {
            content.sync(name);
          }
        });
  }

  /** Renames a file; an existing one of the new name is replaced. */
  public void rename(String from, String to) {
    call(content -> content.rename(from, to));
  }

  /** Removes a file, if it is there. */
  public void remove(String name) {
    call(content -> content.remove(name));
  }

  /** Makes the names in one folder durable. */
  public void syncFolder(String folder) {
    call(
        content -> {
          if (!ignoresSyncs) {
            content.syncFolder(folder);
          }
        });
  }

  /** Sets the mean time of later calls, in nanoseconds; each draws between half and 1.5 of it. */
  public void setLatency(long nanoseconds) {
    latency = nanoseconds;
  }

  /** Later calls take effect at an instant at the earliest. */
  public void hangUntil(long instant) {
    hangsUntil = instant;
  }

  /** Sets the free space; with 0 bytes every write fails. */
  public void setFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Sets the free space to unlimited. */
  public void setUnlimited() {
    freeBytes = UNLIMITED;
  }

  /** From now on a loss of power loses all unsynced writes, not a random part of them. */
  public void loseAllUnsynced() {
    lossOfPower = DiskContent.Loss.ALL;
  }

  /** A mutant: from now on syncs have no effect. No guarantee holds with such disks. */
  public void ignoreSyncs() {
    ignoresSyncs = true;
  }

  /** The disk is replaced by an empty one. */
  public void wipe() {
    pending.clear();
    applied = new DiskContent();
    view = new DiskContent();
    busyUntil = time.now();
  }

  /** The process has ended: calls that have not taken effect never do. */
  void stopWriting() {
    applyDue();
    pending.clear();
    view = applied.copy();
    busyUntil = time.now();
  }

  /** The machine has lost power; called after {@link #stopWriting}. */
  void losePower() {
    applied.losePower(lossOfPower, random);
    view = applied.copy();
  }

  private void call(Consumer<DiskContent> effect) {
    applyDue();
    long duration = latency / 2 + random.nextLong(latency);
    busyUntil = Math.max(busyUntil() + duration, hangsUntil);
    effect.accept(view);
    pending.add(new Effect(busyUntil, effect));
  }

  private void applyDue() {
    while (!pending.isEmpty() && pending.peek().instant <= time.now()) {
      pending.poll().effect.accept(applied);
    }
  }

  private void takeSpace(int bytes) {
    if (freeBytes != UNLIMITED) {
      freeBytes -= bytes;
    }
  }

  private void checkFree(int missing) throws IOException {
    if (missing > 0 || freeBytes == 0) {
      throw new IOException("No space left on device");
    }
  }

  private record Effect(long instant, Consumer<DiskContent> effect) {}
}
