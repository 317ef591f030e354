/**
 * The fleet's binary. {@link nettletrail.fleet.Main} starts one of the roles, {@code core} ({@link
 * nettletrail.fleet.CoreProcess}) or {@code door} ({@link nettletrail.fleet.DoorProcess}), or the
 * operators' client. A role connects the hosts of {@code nettletrail.control.host} with sockets,
 * disk and HTTP, on one event loop, which nothing here may block; decisions belong to the modules
 * below.
 */
package nettletrail.fleet;
