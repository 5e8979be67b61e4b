package spokestall.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The announced calls of one session, and whether the stored lease covers them. A call is covered once a renewal that was requested
 * after its announcement is stored.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class SessionCalls implements CallAnnouncer {
    private final Runnable renewSoon;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private int openCalls;
    private long coveredUntilMs;
    private boolean ended;
    private boolean renewedForCalls;

    /**
     * Creates the calls of a session that has none.
     *
     * @param renewSoon notified when {@link #needsRenewal} may have become true
     */
    SessionCalls(final Runnable renewSoon) {
        this.renewSoon = renewSoon;
    }

    @Override
    public void announce(final long untilMs, final Consumer<Boolean> announced) {
        coveredUntilMs = isOpen() ? Math.max(coveredUntilMs, untilMs) : untilMs;
        openCalls++;
        if (ended) {
            announced.accept(false);
            return;
        }
        waiting.add(announced);
        renewSoon.run();
    }

    @Override
    public void onCallEnded() {
        assert openCalls > 0 : "a call ended that was not announced";
        openCalls--;
        if (!ended) {
            renewSoon.run();
        }
    }

    /** Returns whether an announced call has not ended. */
    boolean isOpen() {
        return openCalls > 0;
    }

    /** Returns whether a call waits for its announcement, or the last renewal still covers calls that have ended. */
    boolean needsRenewal() {
        return !waiting.isEmpty() || renewedForCalls && !isOpen();
    }

    /** Returns the span of a lease that is renewed at {@code nowMs} and covers the open calls. */
    long spanMs(final long nowMs, final LeaseTimeouts timeouts) {
        return isOpen()
                ? Math.max(timeouts.leaseMs(), Math.min(timeouts.callLeaseMs(), coveredUntilMs - nowMs))
                : timeouts.leaseMs();
    }

    /** Records that a renewal is requested, and returns the announcements that it stores. */
    List<Consumer<Boolean>> onRenewalRequested() {
        renewedForCalls = isOpen();
        final List<Consumer<Boolean>> announced = List.copyOf(waiting);
        waiting.clear();
        return announced;
    }

    /** Rejects the calls that wait for their announcement, and all later ones. */
    void onSessionEnded() {
        ended = true;
        final List<Consumer<Boolean>> rejected = List.copyOf(waiting);
        waiting.clear();
        rejected.forEach(announced -> announced.accept(false));
    }
}
