package spokestall.io.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Closes a client connection so that the kernel discards what it has not delivered yet. After an ordinary close the kernel would send
 * those bytes again, for minutes, and the peer could receive a request that its sender has given up.
 */
final class ConnectionReset {
    private ConnectionReset() {}

    /** Resets the connection. Call on its I/O thread. */
    static void reset(final ClientConnection connection) {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
            // Undertow's own close waits for the peer; the connection below it closes at once.
            IoUtils.safeClose(connection.performUpgrade());
        } catch (final IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
