package nettletrail.configuration;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The parsed items of an earlier document, each with the bytes that it was read from, so that items
 * with the same bytes in a later document needn't be parsed again.
 *
 * <p>Equal bytes at the beginning of an item mean an equal item: an object ends with its closing
 * brace, whatever follows. Items are searched in their order, within a bounded window; one that has
 * moved further is parsed like a new one. For one pass over one document, by one thread.
 */
final class ParsedItemCache {
  /** How many items in a row may have been removed or changed before later ones are missed. */
  private static final int SEARCH_WINDOW = 64;

  private final byte[] source;
  private final Map<String, Cursor> cursors = new HashMap<>();

  /**
   * An item of a list.
   *
   * @param start the offset of its first byte in the document
   * @param end the offset after its last byte
   * @param model what was read from these bytes
   */
  record Item(int start, int end, Object model) {
    int length() {
      return end - start;
    }
  }

  private static final class Cursor {
    final List<Item> items;
    int next;

    Cursor(List<Item> items) {
      this.items = items;
    }
  }

  /**
   * A cache of the items of a document.
   *
   * @param source the document that they were read from
   * @param itemsByList the items of each list in the order of the document
   */
  ParsedItemCache(byte[] source, Map<String, List<Item>> itemsByList) {
    this.source = source;
    itemsByList.forEach((list, items) -> cursors.put(list, new Cursor(items)));
  }

  /** A cache without items. */
  static ParsedItemCache empty() {
    return new ParsedItemCache(new byte[0], Map.of());
  }

  /**
   * Finds the item of a list whose bytes begin at a position of another text. Positions have to be
   * given in ascending order.
   *
   * @return null if there is none within the window
   */
  Item find(String list, byte[] text, int position) {
    Cursor cursor = cursors.get(list);
    if (cursor == null) {
      return null;
    }
    int end = Math.min(cursor.items.size(), cursor.next + SEARCH_WINDOW);
    for (int index = cursor.next; index < end; index++) {
      Item item = cursor.items.get(index);
      if (matches(item, text, position)) {
        cursor.next = index + 1;
        return item;
      }
    }
    return null;
  }

  private boolean matches(Item item, byte[] text, int position) {
    int end = position + item.length();
    return end <= text.length
        && Arrays.equals(source, item.start(), item.end(), text, position, end);
  }
}
