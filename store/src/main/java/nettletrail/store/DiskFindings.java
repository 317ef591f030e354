package nettletrail.store;

import java.util.ArrayList;
import java.util.List;

/** Gathers the findings of a {@link DiskCheck} in the order in which they are made. */
final class DiskFindings {

  private final List<DiskReport.Finding> findings = new ArrayList<>();

  /**
   * Something that a start ignores or cleans up without loss.
   *
   * @param file relative to the data directory
   * @param what what is wrong, and what a start would do
   */
  void harmless(String file, String what) {
    findings.add(new DiskReport.Finding(DiskReport.Severity.NOTE, file, what));
  }

  /** Damage for which a start would take a fresh identity. */
  void fault(String file, String what) {
    findings.add(new DiskReport.Finding(DiskReport.Severity.FAULT, file, what));
  }

  /**
   * A file that belongs to no record.
   *
   * @param file relative to the data directory
   * @param name the file's own name
   */
  void unexpectedFile(String file, String name) {
    if (StateLayout.isTemporaryFile(name)) {
      harmless(file, "an unfinished write; nothing that was acknowledged, a start removes it");
    } else {
      harmless(file, "not a file of the store's; it is left alone");
    }
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  List<DiskReport.Finding> list() {
    return findings;
  }
}
