package spokestall.gossip;

/**
 * Sizes and time-outs of a {@link PartialView}.
 *
 * @param viewSize the maximum number of members
 * @param sampleSize the number of members that an eager view puts into a {@link GossipMessage.Shuffle}; otherwise it is half
 * @param memberTimeoutMs the time after which a member that nobody has seen is removed
 * @param eagerMs how long a view is eager after a change of its members, and how long a member counts as new. An eager view
 *     shuffles on each tick and not on every other one. Samples contain new members first.
 */
public record ViewParameters(int viewSize, int sampleSize, long memberTimeoutMs, long eagerMs) {}
