package nettletrail.store;

import java.nio.charset.StandardCharsets;
import nettletrail.protocol.Member;

/**
 * The identity of a disk: {@code address#0} if it was made at the first start of the whole system,
 * else {@code address#random}. It is made once and read back at each later start, so a process
 * whose disk was lost comes back as another member.
 */
public final class NodeIdentity {

  static final String FILE = "identity";
  private static final String FOUNDING_SUFFIX = "0";
  private static final String RANDOM_PREFIX = "r";
  private static final char SEPARATOR = '#';

  private NodeIdentity() {}

  /** The identity that a process at that address has at the first start of the whole system. */
  public static Member founding(String address) {
    return member(address, FOUNDING_SUFFIX);
  }

  /**
   * Reads the identity of this disk or makes it durably. A file that is damaged, or that names
   * another address, is replaced by a fresh identity.
   *
   * @param address where peers dial this process
   * @param firstRun true only at the first start of the whole system
   * @param random 64 random bits, used where a fresh identity is needed
   */
  public static Member loadOrCreate(
      Directory directory, String address, boolean firstRun, long random) throws StorageException {
    boolean present = directory.list().contains(FILE);
    if (present) {
      String id = read(directory);
      if (id.startsWith(address + SEPARATOR)) {
        return new Member(id, address);
      }
    }
    if (present || !firstRun) {
      return replace(directory, address, random);
    }
    return create(directory, founding(address));
  }

  /** Gives this disk a fresh identity, durably. */
  static Member replace(Directory directory, String address, long random) throws StorageException {
    return create(directory, member(address, RANDOM_PREFIX + Long.toHexString(random)));
  }

  private static Member create(Directory directory, Member created) throws StorageException {
    byte[] payload = created.getId().getBytes(StandardCharsets.UTF_8);
    RecordFile.write(directory, FILE, RecordFile.Kind.IDENTITY, payload);
    return created;
  }

  /** The identity on a disk; empty if its file is damaged. */
  static String read(Directory directory) throws StorageException {
    try {
      byte[] payload = RecordFile.read(directory, FILE, RecordFile.Kind.IDENTITY);
      return new String(payload, StandardCharsets.UTF_8);
    } catch (StorageException failure) {
      if (failure.step() == StorageException.Step.DECODE) {
        return "";
      }
      throw failure;
    }
  }

  private static Member member(String address, String suffix) {
    return new Member(address + SEPARATOR + suffix, address);
  }
}
