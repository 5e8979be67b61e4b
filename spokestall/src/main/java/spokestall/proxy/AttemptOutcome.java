package spokestall.proxy;

/** The outcome of an attempt, as it counts for the upstream's latency, concurrency limit and ejection. */
public enum AttemptOutcome {
    /** The upstream responded. */
    ANSWERED,
    /** The upstream rejected the request without executing it. */
    REJECTED,
    /** No connection could be opened; no byte was sent. */
    UNREACHABLE,
    /** The request was sent, and no complete response arrived. */
    LOST,
    /** This edge cancelled the attempt, which says nothing about the upstream. */
    CANCELLED
}
