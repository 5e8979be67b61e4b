package spokestall.lease;

/**
 * The spans by which a lease is acquired, renewed and given up, in milliseconds.
 *
 * @param leaseMs how long a lease is valid after its acquisition or renewal was requested
 * @param renewMs how long after one renewal the next is requested
 * @param storeWaitMs how long a read or change of the register may take; an answer that comes later is not used
 * @param marginMs how much earlier the holder stops, and how much longer a rival waits
 * @param turnMs the gap between rivals that saw the same lease expire
 * @param maxRunMs the longest that one session may last, with all its renewals
 * @param restMs how long a former holder waits before it acquires the lease from another holder. Where the order of holders is
 *     checked within a span, a holder that came back sooner would seem to act beside the one that followed it; 0 for no rest
 */
public record LeaseTimeouts(
        long leaseMs,
        long renewIntervalMs,
        long storeTimeoutMs,
        long safetyMarginMs,
        long staggerMs,
        long maxSessionMs,
        long cooldownMs) {
    /** Until when a holder may act whose acquisition or renewal was requested at {@code requestedMs}. */
    long deadlineMs(final long requestedMs) {
        return requestedMs + leaseMs - safetyMarginMs;
    }
}
