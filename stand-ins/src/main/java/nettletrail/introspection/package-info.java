/** An OAuth 2 introspection server as RFC 7662 describes it, with the faults that such servers have. */
package nettletrail.introspection;
