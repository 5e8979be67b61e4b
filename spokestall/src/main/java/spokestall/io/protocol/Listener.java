package spokestall.io.protocol;

import java.io.IOException;
import spokestall.configuration.ClientLimits;
import spokestall.node.ClientConnections;
import spokestall.settings.Settings;

/** What listens to those outside the fleet. */
public interface Listener {
    /** Begins to listen; throws when an address can't be had. */
    void start() throws IOException;

    /** Goes on with newer settings. */
    void applySettings(Settings settings);

    /** Keeps clients to these limits from now on. */
    void applyLimits(ClientLimits limits);

    /** The connections to those outside. */
    ClientConnections connections();
}
