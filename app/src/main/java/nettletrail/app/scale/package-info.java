/**
 * The fleet at the size to design for, on one machine: hollow front doors and backends, many to a process, beside a few
 * real ones; what is done to them; and what it costs, against the budgets of the plan.
 */
package nettletrail.app.scale;
