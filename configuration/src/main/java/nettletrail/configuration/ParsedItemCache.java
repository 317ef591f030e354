package nettletrail.configuration;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The items of an earlier document, each with the bytes that it was read from, so that those which
 * stand unchanged in a later document needn't be read again.
 *
 * <p>An object that stands between two places of a list is the same value wherever the same bytes
 * begin, since its closing brace ends it. Items are looked for in their order, a bounded number of
 * places ahead; one that has moved further is read like a new one. For one pass over one document.
 */
final class ParsedItemCache {
  /** How many items may have been taken out in a row, or changed, before others are found again. */
  private static final int LOOK_AHEAD = 64;

  private final byte[] source;
  private final Map<String, Cursor> cursors = new HashMap<>();

  /**
   * An item of a list.
   *
   * @param start where its bytes begin in the document
   * @param end where they end
   * @param model what was read from them
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
   * Makes the items of a document known.
   *
   * @param source the document that they were read from
   * @param itemsByList the items of each list in the order of the document
   */
  ParsedItemCache(byte[] source, Map<String, List<Item>> itemsByList) {
    this.source = source;
    itemsByList.forEach((list, items) -> cursors.put(list, new Cursor(items)));
  }

  /** Knows no item. */
  static ParsedItemCache none() {
    return new ParsedItemCache(new byte[0], Map.of());
  }

  /** The item of this list whose bytes stand at a position of another text, or null. */
  Item at(String list, byte[] text, int position) {
    Cursor cursor = cursors.get(list);
    if (cursor == null) {
      return null;
    }
    int end = Math.min(cursor.items.size(), cursor.next + LOOK_AHEAD);
    for (int index = cursor.next; index < end; index++) {
      Item item = cursor.items.get(index);
      if (stands(item, text, position)) {
        cursor.next = index + 1;
        return item;
      }
    }
    return null;
  }

  private boolean stands(Item item, byte[] text, int position) {
    int end = position + item.length();
    return end <= text.length
        && Arrays.equals(source, item.start(), item.end(), text, position, end);
  }
}
