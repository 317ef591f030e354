package nettletrail.store;

import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.StoredWithdrawals;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;

/**
 * The backends whose draining or deregistration this disk remembers: one file that each write
 * replaces. Blocking; one thread at a time.
 */
final class WithdrawalFile {

  private static final String FILE = StateLayout.WITHDRAWALS_FILE;

  private WithdrawalFile() {}

  /**
   * Reads the stored withdrawals; none if nothing was ever stored.
   *
   * @throws StorageException with step DECODE if the file is damaged
   */
  static List<Backend> read(Directory directory) throws StorageException {
    if (!directory.list().contains(FILE)) {
      return List.of();
    }
    StoredWithdrawals stored =
        AvroFile.read(
            directory,
            FILE,
            RecordFormat.Kind.WITHDRAWALS,
            new SpecificDatumReader<>(StoredWithdrawals.class));
    return List.copyOf(stored.getBackends());
  }

  /** Replaces the stored withdrawals, durably. */
  static void write(Directory directory, List<Backend> withdrawals) throws StorageException {
    AvroFile.write(
        directory,
        FILE,
        RecordFormat.Kind.WITHDRAWALS,
        new StoredWithdrawals(withdrawals),
        new SpecificDatumWriter<>(StoredWithdrawals.class));
  }

  /** Removes what a write left behind that was cut short. */
  static void removeUnfinished(Directory directory) throws StorageException {
    String unfinished = StateLayout.temporaryFile(FILE);
    if (directory.list().contains(unfinished)) {
      directory.remove(unfinished);
    }
  }
}
