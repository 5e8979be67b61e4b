package spokestall.testsupport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Allocates loopback ports for servers under test. */
public final class LoopbackPort {
    private LoopbackPort() {}

    /**
     * Returns a port on which no server currently listens.
     *
     * @throws IOException if no port is available
     */
    public static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
