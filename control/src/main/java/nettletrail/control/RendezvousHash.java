package nettletrail.control;

/**
 * The hash of a key and a node for rendezvous hashing (Thaler and Ravishankar, 1998): 64-bit FNV-1a
 * over the node's name, then the finalizer of SplitMix64. The same in every process and release.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;
  private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;
  private static final int FIRST_SHIFT = 30;
  private static final int SECOND_SHIFT = 27;
  private static final int LAST_SHIFT = 31;

  private RendezvousHash() {}

  /** The weight of a node for a key; the node with the highest weight is the first choice. */
  public static long weight(int key, String node) {
    long hash = FNV_OFFSET_BASIS ^ key;
    for (int index = 0; index < node.length(); index++) {
      hash ^= node.charAt(index);
      hash *= FNV_PRIME;
    }
    hash = (hash ^ (hash >>> FIRST_SHIFT)) * FIRST_MULTIPLIER;
    hash = (hash ^ (hash >>> SECOND_SHIFT)) * SECOND_MULTIPLIER;
    return hash ^ (hash >>> LAST_SHIFT);
  }
}
