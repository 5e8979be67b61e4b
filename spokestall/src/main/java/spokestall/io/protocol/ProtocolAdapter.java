package spokestall.io.protocol;

import org.xnio.XnioWorker;
import spokestall.configuration.ConfigurationFormat;
import spokestall.io.EventLoop;
import spokestall.node.Node;
import spokestall.settings.Settings;

/**
 * The protocols between a node and systems outside the fleet: clients, upstreams, operators and the platform. An adapter defines
 * names, formats and calls; decisions are made by the node. spokestall's own adapter is {@link #nativeAdapter}; a deployment may
 * replace it.
 */
public interface ProtocolAdapter {
    /** Returns the format of configurations; null for spokestall's own format. */
    ConfigurationFormat configurationFormat();

    UpstreamProtocol upstream();

    PlatformProtocol platform();

    /** Creates the server for clients and operators; it doesn't listen yet. */
    Listener createListener(Node node, Settings settings, EventLoop eventLoop, XnioWorker worker);

    /** Returns the adapter for spokestall's own protocols. */
    static ProtocolAdapter nativeAdapter() {
        return new NativeProtocolAdapter();
    }
}
