package nettletrail.fleet;

/** What a process does before it serves, in this order. */
enum StartStep {
  READ_ARGUMENTS("read the arguments"),
  OPEN_DISK("open the disk"),
  LISTEN("listen");

  private final String text;

  StartStep(String text) {
    this.text = text;
  }

  /** As messages to operators name it. */
  @Override
  public String toString() {
    return text;
  }
}
