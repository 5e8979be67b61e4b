package spokestall.io.protocol;

import org.xnio.XnioWorker;
import spokestall.configuration.ConfigurationFormat;
import spokestall.io.EventLoop;
import spokestall.node.Node;
import spokestall.settings.Settings;

/**
 * How a node speaks with those outside the fleet: clients, upstreams, operators and the platform. It holds names, forms and
 * calls; what is decided is the node's. spokestall's own is {@link #nativeAdapter}, another may stand in its place.
 */
public interface ProtocolAdapter {
    /** How configurations are written down; null for spokestall's own form. */
    ConfigurationFormat configurationFormat();

    /** Example: {@code protocol.attempts().headers(attempt)} */
    UpstreamProtocol upstream();

    /** Example: {@code protocol.platform().listTarget()} */
    PlatformProtocol platform();

    /** What listens to those outside. */
    Listener createListener(Node node, Settings settings, EventLoop eventLoop, XnioWorker worker);

    /** spokestall's own speech. */
    static ProtocolAdapter nativeAdapter() {
        return new NativeProtocolAdapter();
    }
}
