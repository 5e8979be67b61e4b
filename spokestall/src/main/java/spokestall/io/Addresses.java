package spokestall.io;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses of an IPv4 address and a port. Host names are never looked up. Thread-safe. */
public final class Addresses {
    private static final int IPV4_BYTES = 4;

    private Addresses() {}

    /**
     * Parses an address such as {@code 127.0.0.1:7100}, which was validated before.
     *
     * @throws IllegalArgumentException if the port is not a number up to 65535
     */
    public static InetSocketAddress of(final String address) {
        final int colon = address.lastIndexOf(':');
        final String[] parts = address.substring(0, colon).split("\\.");
        final byte[] ip = new byte[IPV4_BYTES];
        for (int i = 0; i < IPV4_BYTES; i++) {
            ip[i] = (byte) Integer.parseInt(parts[i]);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(address.substring(colon + 1)));
        } catch (final UnknownHostException e) {
            throw new IllegalArgumentException(address, e);
        }
    }
}
