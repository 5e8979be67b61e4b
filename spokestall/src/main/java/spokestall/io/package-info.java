/**
 * Input and output: sockets, HTTP, files, threads.
 *
 * <p>Owns: the process ({@link spokestall.io.process.NodeProcess}), the connections between nodes ({@link
 * spokestall.io.transport.TcpTransport}), the HTTP server and client, the data directory, the audit's files, and the interface for a
 * deployment's protocols ({@link spokestall.io.protocol.ProtocolAdapter}).
 *
 * <p>Invariants: no decision about control state is made here. Events reach a node only through its {@link
 * spokestall.io.EventLoop}, one at a time; queues are bounded, and events that exceed them are rejected. A connection is reused only after
 * a complete, cleanly framed exchange. Host names are never looked up.
 *
 * <p>Callers: the commands in {@code cli}, the testbed and the platform module. No state machine may use it (ArchitectureTest).
 */
package spokestall.io;
