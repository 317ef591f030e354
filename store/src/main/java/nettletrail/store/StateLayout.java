package nettletrail.store;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The names of the files and folders in a core's data directory. They are part of the stored
 * format: a directory that an earlier release wrote has to open with this one.
 */
final class StateLayout {

  /** The file of the disk's identity, at the root. */
  static final String IDENTITY_FILE = "identity";

  /** The file of the draining and deregistered backends, at the root. */
  static final String WITHDRAWALS_FILE = "withdrawals";

  /** The file of the highest promised proposal number, in a shard's folder. */
  static final String PROMISE_FILE = "promise";

  private static final String SHARD_PREFIX = "shard-";
  private static final String VERSION_PREFIX = "version-";
  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final int HEXADECIMAL = 16;

  private StateLayout() {}

  /** The folder of a shard. */
  static String shardFolder(int shard) {
    return SHARD_PREFIX + shard;
  }

  /** The shard that a folder is for; empty if the folder's name isn't a shard's. */
  static OptionalInt shardNumber(String folder) {
    if (!folder.startsWith(SHARD_PREFIX)) {
      return OptionalInt.empty();
    }
    try {
      return OptionalInt.of(Integer.parseInt(folder.substring(SHARD_PREFIX.length())));
    } catch (NumberFormatException notNumeric) {
      return OptionalInt.empty();
    }
  }

  /** The file of the version with this write number; in the order of the numbers. */
  static String versionFile(long number) {
    return VERSION_PREFIX + String.format("%016x", number);
  }

  /** Whether a file is, by the beginning of its name, a version or meant to be one. */
  static boolean isVersionFile(String name) {
    return name.startsWith(VERSION_PREFIX);
  }

  /** The write number in the name of a version's file; empty if there is none. */
  static OptionalLong versionNumber(String name) {
    if (!isVersionFile(name)) {
      return OptionalLong.empty();
    }
    try {
      long number = Long.parseUnsignedLong(name.substring(VERSION_PREFIX.length()), HEXADECIMAL);
      return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
    } catch (NumberFormatException notHexadecimal) {
      return OptionalLong.empty();
    }
  }

  /** The name under which a file is written until it is complete and synced. */
  static String temporaryFile(String name) {
    return name + TEMPORARY_SUFFIX;
  }

  /** Whether a file is left over from an unfinished write. */
  static boolean isTemporaryFile(String name) {
    return name.endsWith(TEMPORARY_SUFFIX);
  }
}
