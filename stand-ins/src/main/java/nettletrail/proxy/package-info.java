/**
 * Other proxies, played from the public external-processor protocol: they ask for each request, carry what they are
 * told to, retry, give up and cancel from a seed, and keep a ledger of what they were told.
 */
package nettletrail.proxy;
