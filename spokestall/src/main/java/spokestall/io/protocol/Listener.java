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
    void renew(Settings newer);

    /** Keeps clients to these limits from now on. */
    void limits(ClientLimits newer);

    /** The connections to those outside. */
    ClientConnections connections();
}
