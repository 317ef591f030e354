package nettletrail.plans;

import nettletrail.plans.export.ExportDecider;
import nettletrail.plans.ledger.UnfinishedUses;

/**
 * Settings of a {@link UsageLedger}.
 *
 * @param segmentBytes after which a new segment is started
 * @param maxQueued how many entries may wait for a commit
 * @param maxLines how many lines are kept in memory for the export; others are read from disk
 * @param rule what is billed for uses whose outcome is unknown
 * @param export settings of the export
 */
public record UsageLedgerSettings(
    long segmentBytes,
    int maxQueued,
    int maxLines,
    UnfinishedUses.Rule rule,
    ExportDecider.Terms export) {}
