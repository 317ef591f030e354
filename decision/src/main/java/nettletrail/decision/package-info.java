/**
 * The decisions of a gateway ({@link nettletrail.decision.GatewayDecider}), their interface ({@link
 * nettletrail.decision.Gateway}), the choice of backends per gateway, and settings. No I/O, threads
 * or clock.
 */
package nettletrail.decision;
