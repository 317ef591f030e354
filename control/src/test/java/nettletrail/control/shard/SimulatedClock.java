package nettletrail.control.shard;

/** A machine's steady clock: its own origin, and a rate that differs a little from true time. */
record SimulatedClock(long origin, double rate) {

  long localTime(long trueTime) {
    return origin + (long) (trueTime * rate);
  }

  long trueTime(long localTime) {
    return (long) ((localTime - origin) / rate);
  }
}
