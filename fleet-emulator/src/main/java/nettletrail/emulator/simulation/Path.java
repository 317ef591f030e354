package nettletrail.emulator.simulation;

/** One direction between two machines. */
record Path(Machine from, Machine to) {
  Path reversed() {
    return new Path(to, from);
  }
}
