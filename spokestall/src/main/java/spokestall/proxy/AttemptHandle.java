package spokestall.proxy;

/** Handle of an attempt that has started. */
public interface AttemptHandle {
    /**
     * Cancels the attempt by closing its connection, so that the upstream can stop its work. The attempt ends as
     * {@link AttemptResult.Lost} or {@link AttemptResult.NotSent}; its callback receives that later, on the event loop. Has no
     * effect on an attempt that has ended. Must be called on the event loop.
     */
    void cancel();
}
