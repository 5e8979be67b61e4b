/**
 * Input and output: sockets, HTTP, files, threads.
 *
 * <p>Owns: the process ({@link spokestall.io.process.NodeProcess}), the connections between nodes ({@link spokestall.io.transport.TcpTransport}), the HTTP
 * server and client, the data folder, the audit's files, and what a deployment's protocols are called by
 * ({@link spokestall.io.protocol.ProtocolAdapter}).
 *
 * <p>Invariants: nothing is decided here. Events reach a node only through its {@link spokestall.io.EventLoop}, one at a time;
 * queues are bounded and what is too much is turned away. A connection is reused only after a whole, cleanly framed exchange.
 * Names are never looked up.
 *
 * <p>Callers: the commands in {@code spokestall} and the platform module. No state machine may use it (ArchitectureTest).
 */
package spokestall.io;
