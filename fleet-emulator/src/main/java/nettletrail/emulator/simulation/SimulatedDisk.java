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
 * A machine's disk, used by one thread of its process. The calls of a job return at once, but each
 * takes effect at an instant of virtual time of its own, after those before it: if the process ends
 * in between, what had not yet taken effect never does. {@link #busyUntil} tells when the calls
 * made so far are done.
 */
public final class SimulatedDisk {
  /** The usual time of a call, in nanoseconds. */
  public static final long DEFAULT_LATENCY = VirtualTime.MILLISECOND / 2;

  private static final long UNLIMITED = Long.MAX_VALUE;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Deque<Effect> pending = new ArrayDeque<>();

  /** What has taken effect. */
  private DiskContent applied = new DiskContent();

  /** What will have taken effect once all calls made so far are done. */
  private DiskContent view = new DiskContent();

  private long busyUntil;
  private long latency = DEFAULT_LATENCY;
  private long hangsUntil;
  private long freeBytes = UNLIMITED;
  private boolean ignoresSyncs;
  private DiskContent.Loss lossOfPower = DiskContent.Loss.SOME;

  /**
   * @param random decides about times and what a loss of power leaves
   */
  public SimulatedDisk(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  /** The instant at which all calls made so far are done. */
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

  /** Makes an empty file; one that had the name is replaced. */
  public void create(String name) throws IOException {
    checkFree(0);
    call(content -> content.create(name));
  }

  /** Appends to a file. A disk that fills up keeps the first bytes and fails. */
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

  /** Renames a file; one that had the new name is replaced. */
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

  /** Every later call takes so long, give or take a half; in nanoseconds. */
  public void setLatency(long nanoseconds) {
    latency = nanoseconds;
  }

  /** Calls made before an instant are not done before it. */
  public void hangUntil(long instant) {
    hangsUntil = instant;
  }

  /** Bytes that can still be written; with 0 every write fails. */
  public void setFreeBytes(long bytes) {
    freeBytes = bytes;
  }

  /** Writes succeed again. */
  public void setUnlimited() {
    freeBytes = UNLIMITED;
  }

  /** Whether a loss of power takes all writes that were not synced, or some of them by chance. */
  public void loseAllUnsynced(boolean all) {
    lossOfPower = all ? DiskContent.Loss.ALL : DiskContent.Loss.SOME;
  }

  /**
   * From now on the disk says that it has synced and does not. No promise holds with such disks.
   */
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

  /** The process has ended: calls that have not yet taken effect never do. */
  void stopWriting() {
    applyDue();
    pending.clear();
    view = applied.copy();
    busyUntil = time.now();
  }

  /** The machine has lost power; {@link #stopWriting} came first. */
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
