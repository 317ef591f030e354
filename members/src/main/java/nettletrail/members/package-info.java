/**
 * Front doors that know each other: {@link nettletrail.members.MembersDecider} says who is likely there,
 * {@code ViewDecider} what a majority has agreed on; links between doors carry their words, sealed.
 */
package nettletrail.members;
