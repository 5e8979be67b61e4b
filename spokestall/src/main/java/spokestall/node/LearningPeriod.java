package spokestall.node;

import spokestall.time.Clock;

/** The time after a node's start during which it still learns which other nodes there are. Call on the node's event loop. */
final class LearningPeriod {
    private final Clock clock;
    private final long startedMs;
    private final long minMs;
    private final long maxMs;

    /**
     * Begins a period now.
     *
     * @param minMs its shortest duration: what an earlier incarnation of this node did just before is still in effect
     * @param maxMs its longest duration, if this node learns nothing
     */
    LearningPeriod(final Clock clock, final long minMs, final long maxMs) {
        this.clock = clock;
        this.startedMs = clock.nowMs();
        this.minMs = minMs;
        this.maxMs = maxMs;
    }

    /** Returns whether the period is over for a node that has learned of the others, or has not. */
    boolean isOver(final boolean learned) {
        return clock.nowMs() - startedMs >= (learned ? minMs : maxMs);
    }
}
