package nettletrail.control.grant;

/**
 * One run of a door's process. A restarted door has a new account: tokens that were granted to its
 * former incarnation stay outstanding until they expire.
 *
 * @param door the door's name
 * @param incarnation the number of the run
 */
record DoorIncarnation(String door, long incarnation) {}
