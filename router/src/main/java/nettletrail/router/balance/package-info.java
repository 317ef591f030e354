/**
 * Load balancing among the backends of one service: choice by cost, outlier detection, slow start,
 * latency estimates and prefix affinity.
 *
 * <p>The entry class is {@link nettletrail.router.balance.ServiceBackends}, one for each service;
 * {@link nettletrail.router.balance.BackendLoad} takes the outcome of each request. All classes are
 * deterministic: they do no I/O, read no clock and draw only from a seeded generator. Instants are
 * nanoseconds of the steady clock, given by the caller as {@code now}. Not thread-safe: each
 * instance belongs to the router's event loop.
 */
package nettletrail.router.balance;
