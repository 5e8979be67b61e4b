package spokestall.message;

/**
 * Sends messages to other nodes without delivery guarantees: a message may be lost, delayed, duplicated or reordered,
 * and the sender is not notified.
 */
public interface MessageSender {
    /**
     * Sends a message to the node at an address (IP and port). Returns immediately, and doesn't throw if the node is
     * unreachable.
     */
    void send(String address, Message message);
}
