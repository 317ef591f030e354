/**
 * Tenants' plans that change in service, quota reservations, and the ledger of what is charged
 * under them. Deciders do no I/O; {@link nettletrail.plans.UsageLedger} runs a ledger on a thread
 * of its own.
 */
package nettletrail.plans;
