package nettletrail.fleet.cli.demonstration;

/**
 * Whether a guarantee of the system was kept.
 *
 * @param invariant what should hold, as a sentence for the operator
 * @param holds whether it did
 * @param evidence what was observed: counts, and the first violation if there is any
 */
public record InvariantResult(String invariant, boolean holds, String evidence) {}
