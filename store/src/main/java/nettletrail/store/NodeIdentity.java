package nettletrail.store;

import java.nio.charset.StandardCharsets;
import nettletrail.protocol.Member;

/**
 * The identity of a disk: {@code address#0} if it was created at the first start of the system,
 * else {@code address#rRANDOM} in hexadecimal. It is created once and read at each later start, so
 * a process whose disk was lost joins as another member: its earlier votes must not count, since
 * the new disk doesn't know of them.
 */
public final class NodeIdentity {

  private static final String FILE = StateLayout.IDENTITY_FILE;
  private static final String FOUNDING_SUFFIX = "0";
  private static final String RANDOM_PREFIX = "r";
  private static final char SEPARATOR = '#';

  private NodeIdentity() {}

  /** The identity that a process at that address has at the first start of the system. */
  public static Member founding(String address) {
    return member(address, FOUNDING_SUFFIX);
  }

  /**
   * Reads the identity of this disk, or creates it durably. A file that is damaged, or that names
   * another address, is replaced by a fresh identity. Blocking.
   *
   * @param address where peers dial this process
   * @param firstRun true only at the first start of the system, on empty disks
   * @param random 64 random bits, used where a fresh identity is needed
   */
  public static Member loadOrCreate(
      Directory directory, String address, boolean firstRun, long random) throws StorageException {
    if (!exists(directory)) {
      return firstRun ? create(directory, founding(address)) : replace(directory, address, random);
    }
    String id = read(directory);
    return id.startsWith(address + SEPARATOR)
        ? new Member(id, address)
        : replace(directory, address, random);
  }

  /** True if this disk has an identity, be it damaged. */
  static boolean exists(Directory directory) throws StorageException {
    return directory.list().contains(FILE);
  }

  /** Gives this disk a fresh identity, durably. */
  static Member replace(Directory directory, String address, long random) throws StorageException {
    return create(directory, member(address, RANDOM_PREFIX + Long.toHexString(random)));
  }

  private static Member create(Directory directory, Member created) throws StorageException {
    byte[] payload = created.getId().getBytes(StandardCharsets.UTF_8);
    RecordFile.write(directory, FILE, RecordFormat.Kind.IDENTITY, payload);
    return created;
  }

  /** The identity on a disk; empty if its file is damaged. */
  static String read(Directory directory) throws StorageException {
    try {
      byte[] payload = RecordFile.read(directory, FILE, RecordFormat.Kind.IDENTITY);
      return new String(payload, StandardCharsets.UTF_8);
    } catch (StorageException failure) {
      failure.requireDamage();
      return "";
    }
  }

  private static Member member(String address, String suffix) {
    return new Member(address + SEPARATOR + suffix, address);
  }
}
