package nettletrail.emulator.actors;

import java.util.HashMap;
import java.util.Map;
import nettletrail.emulator.checker.ConfigurationOperation.ChangeRequest;

/** All orders that any operator has made, by id. */
public final class ChangeRequests {
  private final Map<Integer, ChangeDocument> documents = new HashMap<>();

  /**
   * Makes an order.
   *
   * @param base what it builds on; null for the first
   * @param step by how much its edition is above that of the base
   */
  public ChangeDocument create(ChangeDocument base, long step) {
    long basedOn = base == null ? 0 : base.change().edition();
    ChangeRequest change = new ChangeRequest(documents.size() + 1, basedOn, basedOn + step);
    ChangeDocument document = new ChangeDocument(change, base);
    documents.put(change.id(), document);
    return document;
  }

  /** The order of an id. */
  public ChangeDocument get(int id) {
    ChangeDocument document = documents.get(id);
    if (document == null) {
      throw new IllegalArgumentException("no operator ever sent order " + id);
    }
    return document;
  }

  /** How many orders were made. */
  public int size() {
    return documents.size();
  }
}
