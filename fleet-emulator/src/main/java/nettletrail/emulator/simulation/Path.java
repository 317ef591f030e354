package nettletrail.emulator.simulation;

/** One direction between two machines. */
record Path(SimulatedMachine from, SimulatedMachine to) {
  Path reversed() {
    return new Path(to, from);
  }
}
