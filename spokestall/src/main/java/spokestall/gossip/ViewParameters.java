package spokestall.gossip;

/**
 * Sizes and time-outs of a {@link PartialView}.
 *
 * @param viewSize how many members are kept at most
 * @param sampleSize how many members an eager view puts into a {@link GossipMessage.Shuffle}; one that isn't sends half
 * @param memberTimeoutMs after how long a member that was not heard from is dropped
 * @param eagerMs for how long a view is eager after its members changed: it shuffles on each tick, not on every other, and
 *     prefers members that are new
 */
public record ViewParameters(int viewSize, int sampleSize, long memberTimeoutMs, long eagerMs) {}
