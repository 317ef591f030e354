/** A stand-in site on loopback: backends that keep a ledger of what ran, and the discovery agent that lists them. */
package nettletrail.site;
