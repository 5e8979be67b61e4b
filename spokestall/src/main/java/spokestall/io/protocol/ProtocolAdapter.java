package spokestall.io.protocol;

import org.xnio.XnioWorker;
import spokestall.configuration.ConfigurationFormat;
import spokestall.io.EventLoop;
import spokestall.node.Node;
import spokestall.settings.Settings;

/**
 * How a node speaks with those outside the fleet: callers, upstreams, operators and the platform. It holds names, forms and
 * calls; what is decided is the node's. spokestall's own is {@link #own}, another may stand in its place.
 */
public interface ProtocolAdapter {
    /** How policies are written down; null for spokestall's own form. Example: {@code new Node(settings, true, rim, speech.form())} */
    ConfigurationFormat form();

    /** Example: {@code speech.goes().headers(go)} */
    UpstreamProtocol goes();

    /** Example: {@code speech.platform().listTarget()} */
    PlatformProtocol platform();

    /** What listens to those outside. Example: {@code speech.front(node, settings, stage, worker).start();} */
    Listener front(Node node, Settings settings, EventLoop stage, XnioWorker worker);

    /** spokestall's own speech. Example: {@code new NodeProcess(settings, true, ProtocolAdapter.own()).run()} */
    static ProtocolAdapter own() {
        return new NativeProtocolAdapter();
    }
}
