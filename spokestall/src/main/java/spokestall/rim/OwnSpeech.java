package spokestall.rim;

import org.xnio.XnioWorker;
import spokestall.Node;
import spokestall.policy.PolicyForm;
import spokestall.settings.Settings;

/** spokestall's own speech, as docs/protocols.md has it. */
final class OwnSpeech implements Speech {
    @Override
    public PolicyForm form() {
        return null;
    }

    @Override
    public GoSpeech goes() {
        return new OwnGoes();
    }

    @Override
    public PlatformSpeech platform() {
        return new OwnPlatform();
    }

    @Override
    public Front front(final Node node, final Settings settings, final Stage stage, final XnioWorker worker) {
        return new HttpServer(
                node,
                stage,
                worker,
                Addresses.of(settings.text("http")),
                Addresses.of(settings.operators()),
                new HttpServer.Bounds(
                        2 * (int) settings.ms("policyMaxBytes"),
                        1 << 16,
                        4 * (int) settings.ms("askOpenMax"),
                        settings.ms("askSpanMaxMs"),
                        settings.ms("askSpanMaxMs"),
                        settings.part("askSpanMaxMs", 1.0 / 30)));
    }
}
