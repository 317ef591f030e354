package nettletrail.plans.ledger;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory that does what a disk may: what isn't synced is lost or torn at a crash, a
 * sync fails and throws the pages away, there is no room. Each operation is a point at which a
 * process may be killed.
 */
public final class FaultyDisk implements Disk {
  /** The process is dead: thrown out of whatever it was doing. */
  public static final class Killed extends Error {
    private static final long serialVersionUID = 1;
  }

  private static final class Content {
    byte[] synced = new byte[0];
    final ByteArrayOutputStream since = new ByteArrayOutputStream();

    byte[] all() {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(synced);
      all.writeBytes(since.toByteArray());
      return all.toByteArray();
    }
  }

  private final Map<String, Content> files = new TreeMap<>();
  private final SplittableRandom random;

  /** Operations until the process is killed; none below 0. */
  public long killAfter = -1;

  /** Bytes that still fit. */
  public long room = Long.MAX_VALUE;

  /** So many of the next syncs fail, and throw away what they should have made last. */
  public int failSyncs;

  long operations;
  long syncs;

  public FaultyDisk(long seed) {
    random = new SplittableRandom(seed);
  }

  private void step() {
    operations++;
    if (killAfter == 0) {
      throw new Killed();
    }
    killAfter -= killAfter > 0 ? 1 : 0;
  }

  /**
   * The machine loses power: of what isn't synced a part is there, perhaps with other bytes in it.
   */
  public void powerLoss() {
    for (Content each : files.values()) {
      byte[] since = each.since.toByteArray();
      int kept = since.length == 0 ? 0 : random.nextInt(since.length + 1);
      byte[] left = java.util.Arrays.copyOf(since, kept);
      if (kept > 0 && random.nextInt(3) == 0) {
        left[random.nextInt(kept)] ^= (byte) (1 + random.nextInt(255));
      }
      each.since.reset();
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(each.synced);
      all.writeBytes(left);
      each.synced = all.toByteArray();
    }
  }

  /**
   * What is on it, synced and not, as one number: two disks with the same are taken for the same.
   */
  public long state() {
    long state = 1;
    for (Map.Entry<String, Content> each : files.entrySet()) {
      java.util.zip.CRC32 sum = new java.util.zip.CRC32();
      sum.update(each.getValue().synced);
      state = state * 31 + each.getKey().hashCode();
      state = state * 0x100000001b3L + sum.getValue();
      sum.update(each.getValue().since.toByteArray());
      state = state * 0x100000001b3L + sum.getValue() + each.getValue().since.size();
    }
    return state;
  }

  /** Power is lost, and nothing that isn't synced was written out. */
  public void allUnsyncedIsLost() {
    files.values().forEach(each -> each.since.reset());
  }

  /** A bit turns over on the disk. */
  public void flip(String name, int at) {
    Content content = files.get(name);
    content.synced = content.all();
    content.since.reset();
    content.synced[at] ^= 0x10;
  }

  @Override
  public List<String> names() {
    return List.copyOf(files.keySet());
  }

  @Override
  public boolean exists(String name) {
    step();
    return files.containsKey(name);
  }

  @Override
  public byte[] read(String name) {
    return files.get(name).all();
  }

  @Override
  public File create(String name) throws IOException {
    step();
    if (files.containsKey(name)) {
      throw new FileAlreadyExistsException(name);
    }
    Content content = new Content();
    files.put(name, content);
    return new File() {
      @Override
      public void write(byte[] bytes) throws IOException {
        int fits = (int) Math.min(bytes.length, room);
        boolean dies = killAfter == 0;
        // Killed or out of room in the middle of it: a part is there.
        int there = dies ? random.nextInt(bytes.length + 1) : fits;
        content.since.write(bytes, 0, Math.min(there, fits));
        room -= Math.min(there, fits);
        step();
        if (fits < bytes.length) {
          throw new IOException("No space left on device");
        }
      }

      @Override
      public void sync() throws IOException {
        FaultyDisk.this.sync(content);
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void sync(String name) throws IOException {
    sync(files.get(name));
  }

  private void sync(Content content) throws IOException {
    step();
    syncs++;
    if (failSyncs > 0) {
      failSyncs--;
      int kept = random.nextInt(content.since.size() + 1);
      byte[] part = java.util.Arrays.copyOf(content.since.toByteArray(), kept);
      content.since.reset();
      content.since.writeBytes(part);
      throw new IOException("Input/output error");
    }
    content.synced = content.all();
    content.since.reset();
  }

  @Override
  public void delete(String name) {
    step();
    files.remove(name);
  }

  @Override
  public long free() {
    return room;
  }
}
