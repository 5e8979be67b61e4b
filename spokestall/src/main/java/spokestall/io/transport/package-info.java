/**
 * Messages between nodes over TCP.
 *
 * <p>Owns: one outgoing connection to each peer, with a bounded queue, and the connections that peers open ({@link
 * spokestall.io.transport.TcpTransport}); which networks may open them ({@link spokestall.io.transport.TrustedNetworks}).
 *
 * <p>Invariants: a message may be lost or late, but not altered; a frame above the size limit closes the connection. Nothing waits for a
 * peer: messages that exceed a queue are dropped.
 *
 * <p>Callers: {@code io.process}. State machines see {@code message.MessageSender} only.
 */
package spokestall.io.transport;
