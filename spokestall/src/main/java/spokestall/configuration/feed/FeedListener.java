package spokestall.configuration.feed;

import spokestall.consensus.VoterSet;

/** Receives what a {@link FeedClient} learned. Called on the node's event loop, within the message that brought it. */
public interface FeedListener {
    /** A core answered with a newer voter set than this node's; the listener adopts it before it returns. */
    void onNewerVoterSet(VoterSet voterSet);

    /** The configuration store moved to a newer version. */
    void onConfigurationApplied();
}
