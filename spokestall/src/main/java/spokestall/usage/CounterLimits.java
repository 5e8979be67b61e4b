package spokestall.usage;

/**
 * Spans and sizes of an edge's counts.
 *
 * @param windowMs the span of a window
 * @param closeMs how long after its end an edge closes a window
 * @param windowsKept how many past windows are kept
 * @param uncountedMaxMs how long a started request may be without a majority of the cores before no more may start; 0 for no bound
 * @param cores how many cores the settings name; the majority is of these, or of the known ones if those are more
 * @param resendMs how long after a push it is sent again to the cores that have not acknowledged it
 */
public record CounterLimits(
        long windowMs, long closeMs, int windowsKept, long uncountedMaxMs, int cores, long resendMs) {}
