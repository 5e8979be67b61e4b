package spokestall.node;

/** The connections of those outside the fleet to a node, as far as its leaving goes. */
public interface ClientConnections {
    /** From now on each answer is the last one on its connection, and says so. */
    void endWithAnswers();

    /** Takes no more connections; those that are open go on. */
    void stopAccepting();

    /** Ends each connection that no request is under way on; what arrives from then on is not read. */
    void endResting();

    /** Connections on which a request is under way or may still come. */
    int open();
}
