package spokestall.io.protocol;

import java.io.IOException;
import spokestall.configuration.ClientLimits;
import spokestall.node.ClientConnections;
import spokestall.settings.Settings;

/** The server for clients and operators. */
public interface Listener {
    /** Starts to listen; throws if an address can't be bound. */
    void start() throws IOException;

    /** Applies changed settings, as far as they can change while the process runs. */
    void applySettings(Settings settings);

    /** Applies these limits to clients from now on. */
    void applyLimits(ClientLimits limits);

    /** Returns the connections of clients, for a graceful shutdown. */
    ClientConnections connections();
}
