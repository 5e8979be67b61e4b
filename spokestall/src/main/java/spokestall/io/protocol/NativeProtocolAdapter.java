package spokestall.io.protocol;

import org.xnio.XnioWorker;
import spokestall.configuration.ConfigurationFormat;
import spokestall.io.Addresses;
import spokestall.io.EventLoop;
import spokestall.node.Node;
import spokestall.settings.Settings;

/** spokestall's own protocols, specified in docs/protocols.md. */
final class NativeProtocolAdapter implements ProtocolAdapter {
    @Override
    public ConfigurationFormat configurationFormat() {
        return null;
    }

    @Override
    public UpstreamProtocol upstream() {
        return new NativeUpstreamProtocol();
    }

    @Override
    public PlatformProtocol platform() {
        return new NativePlatformProtocol();
    }

    @Override
    public Listener createListener(
            final Node node, final Settings settings, final EventLoop eventLoop, final XnioWorker worker) {
        return new HttpServer(
                node,
                eventLoop,
                worker,
                Addresses.of(settings.text("http")),
                Addresses.of(settings.operatorAddress()),
                new HttpServer.Limits(
                        2 * (int) settings.integer("policyMaxBytes"),
                        1 << 16,
                        4 * (int) settings.integer("askOpenMax"),
                        settings.integer("askSpanMaxMs"),
                        settings.integer("askSpanMaxMs"),
                        settings.fractionOf("askSpanMaxMs", 1.0 / 30)));
    }
}
