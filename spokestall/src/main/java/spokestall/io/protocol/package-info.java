/**
 * Protocols between a node and systems outside the fleet: names and formats, no decisions.
 *
 * <p>Owns: the interfaces towards clients, upstreams and the platform ({@link spokestall.io.protocol.ClientProtocol}, {@link
 * spokestall.io.protocol.UpstreamProtocol}, {@link spokestall.io.protocol.PlatformProtocol}, all in {@link
 * spokestall.io.protocol.ProtocolAdapter}), spokestall's own implementation of each ({@code Native...}), and the classes that pass
 * requests between connections and the node ({@link spokestall.io.protocol.RequestHandler}, {@link
 * spokestall.io.protocol.HttpUpstreamClient}).
 *
 * <p>Invariants: a request reaches the node on its event loop, and its response leaves on its connection's I/O thread. Header
 * names and JSON fields are part of the interface and keep their names.
 *
 * <p>Callers: {@code io.process}; the platform module implements the interfaces for another platform.
 */
package spokestall.io.protocol;
