package spokestall.proxy;

/** How an attempt ended, as far as its upstream is concerned. */
public enum AttemptOutcome {
    /** The upstream answered. */
    ANSWERED,
    /** The upstream rejected the request without executing it. */
    REJECTED,
    /** No connection could be had; nothing was sent. */
    UNREACHABLE,
    /** It was sent, and no answer came. */
    LOST,
    /** It was broken off here, which says nothing of its upstream. */
    CANCELLED
}
