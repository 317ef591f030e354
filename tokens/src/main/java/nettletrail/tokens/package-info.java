/**
 * Bearer tokens (RFC 6750) asked about at introspection servers (RFC 7662). What is decided stands in
 * {@link nettletrail.tokens.TokensDecider}; nothing in this package is null unless it says so, and a token's text is held by
 * nothing that outlives its request.
 */
package nettletrail.tokens;
