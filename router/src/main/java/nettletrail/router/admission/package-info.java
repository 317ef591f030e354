/**
 * Who is let in next: queues and virtual counters of tenants. Pure deciders; {@code now} is in ns.
 */
package nettletrail.router.admission;
