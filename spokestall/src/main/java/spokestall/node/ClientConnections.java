package spokestall.node;

/**
 * The connections of clients to a node, as far as its graceful shutdown is concerned. Implemented by the listeners.
 *
 * <p>Called on the node's event loop; implementations pass on to their own I/O threads.
 */
public interface ClientConnections {
    /** From now on each response is the last one on its connection, and says so. */
    void closeAfterResponses();

    /** Accepts no more connections; those that are open continue. */
    void stopAccepting();

    /** Closes each connection that has no request in flight; what arrives from then on is not read. */
    void closeIdle();

    /** Returns the number of connections on which a request is in flight or may still arrive. */
    int open();
}
