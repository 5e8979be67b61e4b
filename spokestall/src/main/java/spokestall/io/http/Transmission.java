package spokestall.io.http;

/**
 * What is known of a request when its first bytes are handed to its connection.
 *
 * @param localAddress the connection's address on this machine, as {@code host:port}
 * @param connectMs how long the connection took to open, in milliseconds; 0 for a reused one
 * @param leftMs the time that is left until the gate's deadline, in milliseconds
 */
public record Transmission(String localAddress, long connectMs, long leftMs) {}
