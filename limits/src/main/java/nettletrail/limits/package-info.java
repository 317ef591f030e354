/** Ceilings that all front doors share through a counter, and that hold when the counter is lost, split or replaced. */
package nettletrail.limits;
