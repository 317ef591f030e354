/**
 * The ledger of uses on disk: chained segments and fencing tokens, so that each use is billed
 * exactly once. Entry classes: {@link nettletrail.plans.ledger.Ledger} writes, {@link
 * nettletrail.plans.ledger.LedgerReader} reads.
 */
package nettletrail.plans.ledger;
