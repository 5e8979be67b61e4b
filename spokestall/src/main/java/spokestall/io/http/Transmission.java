package spokestall.io.http;

import io.undertow.client.ClientConnection;
import java.net.InetSocketAddress;

/**
 * What is known of a request when its first bytes are handed to its connection.
 *
 * @param connection the connection
 * @param connectMs how long the connection took to open, in milliseconds; 0 for a reused one
 * @param leftMs the time that is left until the gate's deadline, in milliseconds
 */
public record Transmission(ClientConnection connection, long connectMs, long leftMs) {
    /** Returns the connection's address on this machine, as {@code host:port}; {@code none} if it has none. */
    public String localAddress() {
        final InetSocketAddress local = connection.getLocalAddress(InetSocketAddress.class);
        return local == null ? "none" : local.getHostString() + ":" + local.getPort();
    }
}
