package spokestall.configuration.feed;

import spokestall.consensus.VoterSet;

/** Receives events from a {@link FeedClient}, on the node's event loop, while the client handles the triggering message. */
public interface FeedListener {
    /** Called when a core responds with a newer voter set than this node's. The listener must adopt it before returning. */
    void onNewerVoterSet(VoterSet voterSet);

    /** Called after the configuration store has applied a newer version. */
    void onConfigurationApplied();
}
