package spokestall.message;

/**
 * Sends messages to other nodes without any guarantee: a message may be lost, delayed, duplicated or reordered, and the sender
 * isn't notified.
 */
public interface MessageSender {
    /** Sends a message to the node at an address (IP and port). Returns at once and doesn't throw if the node can't be reached. */
    void send(String address, Message message);
}
