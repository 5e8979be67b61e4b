package spokestall.io;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads addresses that are IP numbers; no name is ever looked up. */
public final class Addresses {
    private Addresses() {}

    /** Example: {@code Addresses.of("127.0.0.1:7100").getPort() == 7100} */
    public static InetSocketAddress of(final String address) {
        final int at = address.lastIndexOf(':');
        final String[] parts = address.substring(0, at).split("\\.");
        final byte[] ip = new byte[4];
        for (int i = 0; i < 4; i++) {
            ip[i] = (byte) Integer.parseInt(parts[i]);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(address.substring(at + 1)));
        } catch (final UnknownHostException e) {
            throw new IllegalArgumentException(address, e);
        }
    }
}
