/**
 * HTTP transport: a listener for clients and operators, and a client for upstreams and the platform.
 *
 * <p>Owns: client connections and their limits ({@link spokestall.io.http.HttpListener}), connections kept between exchanges
 * ({@link spokestall.io.http.IdleConnectionPool}), one exchange ({@link spokestall.io.http.HttpCall}, {@link
 * spokestall.io.http.HttpResult}) and the rules for header fields ({@link spokestall.io.http.HeaderFields}).
 *
 * <p>Invariants: a connection carries one exchange at a time and is used again only after a complete, cleanly framed one. A
 * message that can be framed in two ways is refused. Callbacks run where the caller says.
 *
 * <p>Callers: {@code io.protocol}, {@code io.process} and the platform module.
 */
package spokestall.io.http;
