/**
 * The retry budget of a service, {@link nettletrail.router.retry.RetryBudget}: bounds retries by
 * the number of requests, so that they don't amplify an overload. Deterministic; instants are
 * nanoseconds of the steady clock. Which failures may be retried is not decided here.
 */
package nettletrail.router.retry;
