package nettletrail.control;

/** The name of the link between two processes, the same from both ends. */
final class LinkName {
  private LinkName() {}

  static String of(String one, String other) {
    return one.compareTo(other) < 0 ? one + "~" + other : other + "~" + one;
  }
}
