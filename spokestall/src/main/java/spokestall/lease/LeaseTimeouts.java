package spokestall.lease;

/**
 * The durations that govern the acquisition, renewal and release of a lease, in milliseconds.
 *
 * @param leaseMs how long a lease is valid after its acquisition or renewal was requested
 * @param callLeaseMs how long a lease is valid at most while a call of its holder may be in flight, which may then arrive late although its
 *     holder can't act any more
 * @param renewIntervalMs the interval between the requests of two renewals
 * @param storeTimeoutMs how long a read or change of the register may take; later outcomes are not used
 * @param safetyMarginMs how long before the end of the lease the holder stops, and how long after it a rival waits
 * @param staggerMs the delay between the acquisition attempts of two rivals that saw the same lease expire
 * @param maxSessionMs the maximum duration of a session, including all its renewals
 * @param cooldownMs how long a former holder waits before it acquires the lease from another holder; 0 for no wait. An observer
 *     that checks the order of holders within a time span would see a holder that returned sooner as acting beside its successor
 */
public record LeaseTimeouts(
        long leaseMs,
        long callLeaseMs,
        long renewIntervalMs,
        long storeTimeoutMs,
        long safetyMarginMs,
        long staggerMs,
        long maxSessionMs,
        long cooldownMs) {
    /** Returns the time until which a holder may act that requested its acquisition or renewal at {@code requestedMs}. */
    long deadlineMs(final long requestedMs) {
        return requestedMs + leaseMs - safetyMarginMs;
    }
}
