/**
 * The data path of a client's request, from admission to the response.
 *
 * <p>Owns: admission before the body is read ({@link spokestall.proxy.AdmissionController}), the attempts of a request
 * ({@link spokestall.proxy.AdmittedRequest}), load balancing ({@link spokestall.proxy.LoadBalancer}), concurrency limits, the
 * retry budget, and the claim of a run-once request ({@link spokestall.proxy.IdempotencyClaim}).
 *
 * <p>Invariants: an edge admits no request and starts no attempt without a freshness lease, which proves that its configuration
 * is the newest. A response says "not run" only if that is proven. Where the deployment uses claims, a run-once request is
 * claimed before its first byte is sent. Each request gets exactly one response.
 *
 * <p>Callers: {@code io.protocol} admits requests here; {@code node.ProxyComponent} builds it. It reaches upstreams only through
 * {@link spokestall.proxy.UpstreamClient}. All calls are made on the node's event loop.
 */
package spokestall.proxy;
