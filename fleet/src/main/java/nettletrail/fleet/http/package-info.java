/**
 * The HTTP/1.1 control interface of the core, for backends and operators.
 *
 * <p>{@link nettletrail.fleet.http.ControlServer} is the entry class. The handlers of a connection,
 * in the order of its pipeline: {@code RequestTimeoutHandler} finds slow and idle clients, Netty's
 * codec decodes, {@code PipelinedRequestAggregator} assembles complete requests, Netty's flow
 * control pauses reading, and {@code PipeliningHandler} writes responses in the order of the
 * requests. {@code ControlRequestParser} recognizes a request by path and method, and {@code
 * ControlDispatcher} answers it or passes it to the {@link nettletrail.fleet.http.ControlCalls}.
 *
 * <p>Everything runs on one event loop, which also owns all state; it must not block. The package
 * must not decide what becomes of a valid request.
 *
 * <p>Paths, statuses, header fields and JSON keys are a public interface and must not change.
 */
package nettletrail.fleet.http;
