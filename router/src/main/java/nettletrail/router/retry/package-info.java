/** The budget of further sends. */
package nettletrail.router.retry;
