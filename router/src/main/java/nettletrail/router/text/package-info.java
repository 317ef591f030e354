/**
 * Parsing of numbers in headers and events, {@link nettletrail.router.text.DecimalNumber}. Static,
 * without state; may be used from any thread.
 */
package nettletrail.router.text;
