package spokestall.testsupport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Ports of the loopback address for servers under test. */
public final class LoopbackPort {
    private LoopbackPort() {}

    /**
     * Returns a port on which nothing listens at this moment.
     *
     * @throws IOException if the system gives none
     */
    public static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
