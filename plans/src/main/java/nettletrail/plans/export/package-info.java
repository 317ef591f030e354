/**
 * Export of billing lines to the receiver: delivered at least once, counted exactly once. Entry
 * class: {@link nettletrail.plans.export.ExportDecider}.
 */
package nettletrail.plans.export;
