/**
 * The data path: a client's request from its admission to its answer.
 *
 * <p>Owns: admission before the body is read ({@link spokestall.proxy.AdmissionController}), the attempts of a request
 * ({@link spokestall.proxy.AdmittedRequest}), the choice of an upstream ({@link spokestall.proxy.LoadBalancer}), concurrency limits, the
 * retry budget, and the claim of a run-once request ({@link spokestall.proxy.IdempotencyClaim}).
 *
 * <p>Invariants: without a fresh confirmation that its configuration is the newest, an edge admits nothing and begins no
 * attempt. "Not run" is said only when that is proven. A run-once request is claimed before its first byte leaves, where the
 * deployment has claims. Each request gets one answer.
 *
 * <p>Callers: {@code io.protocol} admits requests here; {@code node.ProxyComponent} builds it. It reaches upstreams only through
 * {@link spokestall.proxy.UpstreamClient}. All calls are made on the node's event loop.
 */
package spokestall.proxy;
