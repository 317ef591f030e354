/**
 * What each role beside the front door's own list costs at a size of the fleet: members, the counter of the limits, what a
 * front door remembers of its customers, and settings and lists. Real classes on one thread, in virtual time or in process;
 * what is played instead of real is in {@code docs/design/capacity-roles.md}.
 */
package nettletrail.app.scale.roles;
