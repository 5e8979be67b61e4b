package spokestall.node;

/** The connections of those outside the fleet to a node, as far as its leaving goes. */
public interface ClientConnections {
    /** From now on each answer is the last one on its connection, and says so. Example: {@code connections.endWithAnswers();} */
    void endWithAnswers();

    /** Takes no more connections; those that are open go on. Example: {@code connections.stopAccepting();} */
    void stopAccepting();

    /** Ends each connection that no request is under way on; what arrives from then on is not read.
     * Example: {@code connections.endResting();} */
    void endResting();

    /** Connections on which a request is under way or may still come. Example: {@code connections.open() == 0} */
    int open();
}
