package spokestall.node;

/**
 * The client connections of a node, as its graceful shutdown controls them. Implemented by the listeners.
 *
 * <p>Called on the node's event loop; implementations forward the calls to their own I/O threads.
 */
public interface ClientConnections {
    /**
     * Makes each further response the last one on its connection; the response announces that the connection closes.
     */
    void closeAfterResponses();

    /** Stops accepting connections; open connections continue. */
    void stopAccepting();

    /** Closes each connection that has no request in flight; bytes that arrive on it afterwards are not read. */
    void closeIdle();

    /** Returns the number of connections on which a request is in flight or may still arrive. */
    int open();
}
