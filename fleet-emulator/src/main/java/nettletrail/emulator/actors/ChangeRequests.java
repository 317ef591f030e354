package nettletrail.emulator.actors;

import java.util.HashMap;
import java.util.Map;
import nettletrail.emulator.checker.ChangeRequest;

/** All changes that operators of one run have made, by id. */
public final class ChangeRequests {
  private final Map<Integer, ChangeDocument> documents = new HashMap<>();

  /**
   * Creates a change.
   *
   * @param base the document that it is based on; null for the first
   * @param step the difference between its edition and that of the base
   */
  public ChangeDocument create(ChangeDocument base, long step) {
    long basedOn = base == null ? 0 : base.change().edition();
    ChangeRequest change = new ChangeRequest(documents.size() + 1, basedOn, basedOn + step);
    ChangeDocument document = new ChangeDocument(change, base);
    documents.put(change.id(), document);
    return document;
  }

  /**
   * The document of a change.
   *
   * @throws IllegalArgumentException if there is no change with this id
   */
  public ChangeDocument get(int id) {
    ChangeDocument document = documents.get(id);
    if (document == null) {
      throw new IllegalArgumentException("no operator ever made change " + id);
    }
    return document;
  }

  /** The number of changes. */
  public int size() {
    return documents.size();
  }
}
