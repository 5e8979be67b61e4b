package spokestall.usage;

/**
 * The limits of a {@link UsageCounter}. Times are in milliseconds.
 *
 * @param windowMs the length of a window
 * @param closeMs the delay after the end of a window before the edge closes it
 * @param windowsKept the number of past windows that are kept
 * @param uncountedMaxMs the time for which a started request may lack acknowledgements from a majority of the cores before the
 *     edge stops starting requests; 0 for no limit
 * @param cores the number of cores in the settings; a majority is computed from this number, or from the number of known cores
 *     if that is larger
 * @param resendMs the time after which a push is sent again to the cores that have not acknowledged it
 */
public record CounterLimits(
        long windowMs, long closeMs, int windowsKept, long uncountedMaxMs, int cores, long resendMs) {}
