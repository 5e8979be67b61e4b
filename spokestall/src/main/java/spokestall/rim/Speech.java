package spokestall.rim;

import org.xnio.XnioWorker;
import spokestall.Node;
import spokestall.policy.PolicyForm;
import spokestall.settings.Settings;

/**
 * How a node speaks with those outside the fleet: callers, upstreams, operators and the platform. It holds names, forms and
 * calls; what is decided is the node's. spokestall's own is {@link #own}, another may stand in its place.
 */
public interface Speech {
    /** How policies are written down; null for spokestall's own form. Example: {@code new Node(settings, true, rim, speech.form())} */
    PolicyForm form();

    /** Example: {@code speech.goes().headers(go)} */
    GoSpeech goes();

    /** Example: {@code speech.platform().listTarget()} */
    PlatformSpeech platform();

    /** What listens to those outside. Example: {@code speech.front(node, settings, stage, worker).start();} */
    Front front(Node node, Settings settings, Stage stage, XnioWorker worker);

    /** spokestall's own speech. Example: {@code new Daemon(settings, true, Speech.own()).run()} */
    static Speech own() {
        return new OwnSpeech();
    }
}
