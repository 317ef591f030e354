package nettletrail.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecord;

/**
 * The durable promise and versions of one shard, in a folder of its own. Blocking; one thread at a
 * time.
 *
 * <p>Each version is a new file, numbered in the order of writing; once it is durable, all but the
 * newest {@value #KEPT_VERSIONS} are removed. A file that can't be removed stays until a later
 * write, and does not make the version less durable. A write that throws may or may not be there
 * after a restart.
 */
public final class VersionStore {

  /** How many versions stay on disk. */
  public static final int KEPT_VERSIONS = 4;

  private static final int HEXADECIMAL = 16;
  static final String PROMISE_FILE = "promise";
  static final String VERSION_PREFIX = "version-";

  private final Directory directory;
  private final TreeMap<Long, String> versionFiles = new TreeMap<>();
  private long lastNumber;

  /** Uses the folder; {@link #load} comes first. */
  public VersionStore(Directory directory) {
    this.directory = directory;
  }

  /** Reads what is there, removes unfinished files, and continues the numbering. */
  public StoredShard load() throws StorageException {
    List<String> damaged = new ArrayList<>();
    versionFiles.clear();
    lastNumber = 0;
    ProposalNumber promised = null;
    for (String name : directory.list()) {
      if (name.endsWith(RecordFile.TEMPORARY_SUFFIX)) {
        directory.remove(name);
      } else if (name.equals(PROMISE_FILE)) {
        promised = readPromise(damaged);
      } else if (name.startsWith(VERSION_PREFIX)) {
        addVersionFile(name, damaged);
      }
    }
    ShardVersion newest = readNewest(damaged);
    Collections.sort(damaged);
    return new StoredShard(promised, newest, damaged);
  }

  /**
   * Removes files that {@link #load} could not read; only once the disk has taken a fresh identity.
   */
  void discard(List<String> damaged) throws StorageException {
    for (String name : damaged) {
      directory.remove(name);
    }
    versionFiles.values().removeAll(damaged);
    directory.syncDirectory();
  }

  /** Makes a promise durable. */
  public void storePromise(ProposalNumber proposal) throws StorageException {
    byte[] payload =
        encode(PROMISE_FILE, proposal, new SpecificDatumWriter<>(ProposalNumber.class));
    RecordFile.write(directory, PROMISE_FILE, RecordFile.Kind.PROMISE, payload);
  }

  /**
   * Makes a version durable, then removes the oldest files beyond those kept. After a failure the
   * next write takes the same name, so a full disk does not gather unfinished files.
   */
  public void storeVersion(ShardVersion version) throws StorageException {
    long number = lastNumber + 1;
    String name = VERSION_PREFIX + String.format("%016x", number);
    byte[] payload = encode(name, version, new SpecificDatumWriter<>(ShardVersion.class));
    RecordFile.write(directory, name, RecordFile.Kind.VERSION, payload);
    lastNumber = number;
    versionFiles.put(number, name);
    removeOldest();
  }

  /**
   * All versions on disk that are whole, the oldest first; for operators. Comes after {@link
   * #load}.
   */
  public List<ShardVersion> versions() throws StorageException {
    List<ShardVersion> versions = new ArrayList<>();
    for (String name : List.copyOf(versionFiles.values())) {
      ShardVersion version = readVersion(name, new ArrayList<>());
      if (version != null) {
        versions.add(version);
      }
    }
    return versions;
  }

  private void removeOldest() {
    while (versionFiles.size() > KEPT_VERSIONS) {
      try {
        directory.remove(versionFiles.firstEntry().getValue());
      } catch (StorageException stays) {
        return;
      }
      versionFiles.pollFirstEntry();
    }
  }

  private ProposalNumber readPromise(List<String> damaged) throws StorageException {
    try {
      return RecordDecoder.readPromise(directory, PROMISE_FILE);
    } catch (StorageException failure) {
      noteDamaged(PROMISE_FILE, failure, damaged);
      return null;
    }
  }

  private void addVersionFile(String name, List<String> damaged) {
    long number = versionNumber(name);
    if (number < 0) {
      damaged.add(name);
      return;
    }
    versionFiles.put(number, name);
    lastNumber = Math.max(lastNumber, number);
  }

  /** The number of a version's file, or -1 if the name is none. */
  static long versionNumber(String name) {
    if (!name.startsWith(VERSION_PREFIX)) {
      return -1;
    }
    try {
      return Long.parseUnsignedLong(name.substring(VERSION_PREFIX.length()), HEXADECIMAL);
    } catch (NumberFormatException notOurs) {
      return -1;
    }
  }

  private ShardVersion readNewest(List<String> damaged) throws StorageException {
    for (String name : versionFiles.descendingMap().values()) {
      ShardVersion version = readVersion(name, damaged);
      if (version != null) {
        return version;
      }
    }
    return null;
  }

  private ShardVersion readVersion(String name, List<String> damaged) throws StorageException {
    try {
      return RecordDecoder.readVersion(directory, name);
    } catch (StorageException failure) {
      noteDamaged(name, failure, damaged);
      return null;
    }
  }

  private static void noteDamaged(String name, StorageException failure, List<String> damaged)
      throws StorageException {
    if (failure.step() != StorageException.Step.DECODE) {
      throw failure;
    }
    damaged.add(name);
  }

  private static <T extends SpecificRecord> byte[] encode(
      String name, T record, SpecificDatumWriter<T> writer) throws StorageException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    try {
      writer.write(record, encoder);
      encoder.flush();
    } catch (IOException failure) {
      throw new StorageException(StorageException.Step.WRITE, name, failure.toString(), failure);
    }
    return bytes.toByteArray();
  }
}
