/**
 * Request handling that all frontends share: active requests and their attempts, and the interfaces
 * to transports, clients, limiter, authorizer and membership. Runs on one event loop.
 */
package nettletrail.core;
