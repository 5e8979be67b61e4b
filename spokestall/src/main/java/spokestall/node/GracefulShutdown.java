package spokestall.node;

import com.google.common.flogger.FluentLogger;
import spokestall.time.Clock;

/**
 * Ends a node's service to its clients: it serves on while connections are open, each response closing its connection; then
 * accepts no more connections; then rejects new requests, which have not run; then closes idle connections; then answers what
 * is still in flight as failed, and at last ends, when responses that are being written had the rest of its time. It ends
 * sooner once no connection is open.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class GracefulShutdown {
    /**
     * When each phase begins, in milliseconds after {@link #begin}, in rising order.
     *
     * @param stopAcceptingMs when no more connections are accepted
     * @param rejectMs when new requests are rejected
     * @param closeIdleMs when idle connections are closed
     * @param abortMs when what is still in flight is answered as failed
     * @param maxMs when it ends, whatever is still being written
     * @param checkMs how often the connections are checked
     */
    record Timing(long stopAcceptingMs, long rejectMs, long closeIdleMs, long abortMs, long maxMs, long checkMs) {
        private static final double STOP_ACCEPTING_RATIO = 0.17;
        private static final double REJECT_RATIO = 0.45;
        private static final double CLOSE_IDLE_AFTER_REJECT_RATIO = 0.13;
        private static final double ABORT_RATIO = 0.94;
        /** However long a stop may take: by then clients had time to learn of it, and a request may take all the rest. */
        private static final long REJECT_MAX_MS = 2600;

        /** Returns the phases of a shutdown that may take so long in all. */
        static Timing within(final long maxMs, final long checkMs) {
            final long rejectMs = Math.min(ratio(maxMs, REJECT_RATIO), REJECT_MAX_MS);
            return new Timing(
                    ratio(maxMs, STOP_ACCEPTING_RATIO),
                    rejectMs,
                    rejectMs + ratio(maxMs, CLOSE_IDLE_AFTER_REJECT_RATIO),
                    ratio(maxMs, ABORT_RATIO),
                    maxMs,
                    checkMs);
        }

        private static long ratio(final long ofMs, final double ratio) {
            return Math.round(ratio * ofMs);
        }
    }

    /** The clients' requests at this node. */
    interface Requests {
        /** Rejects all requests from now on; those in flight continue. */
        void rejectNew();

        /** Answers all that is in flight, as failed, and returns how many requests that were. */
        int abort();

        /** Returns whether any request is in flight. */
        boolean inFlight();
    }

    /** Is notified of the shutdown's progress; each method is called once. */
    interface Listener {
        /** No request is in flight any more; responses may still be written. Never called after {@link #onEnded}. */
        void onRequestsEnded();

        /** The shutdown has ended. */
        void onEnded();
    }

    /** The requests of a node that serves no clients. */
    static final Requests NO_REQUESTS = new Requests() {
        @Override
        public void rejectNew() {}

        @Override
        public int abort() {
            return 0;
        }

        @Override
        public boolean inFlight() {
            return false;
        }
    };

    private enum Phase {
        SERVING,
        NOT_ACCEPTING,
        REJECTING,
        CLOSING_IDLE,
        ABORTED,
        ENDED
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final ClientConnections connections;
    private final Requests requests;
    private final Clock clock;
    private final Timing timing;
    private final Listener listener;
    private final long startedMs;
    private Phase phase = Phase.SERVING;
    private int abortedRequests;

    /** Creates a shutdown that has not begun. */
    GracefulShutdown(
            final ClientConnections connections,
            final Requests requests,
            final Clock clock,
            final Timing timing,
            final Listener listener) {
        this.connections = connections;
        this.requests = requests;
        this.clock = clock;
        this.timing = timing;
        this.listener = listener;
        this.startedMs = clock.nowMs();
    }

    /** Begins the shutdown. Called once. */
    void begin() {
        connections.closeAfterResponses();
        onTick();
    }

    private void onTick() {
        final long elapsedMs = clock.nowMs() - startedMs;
        // A connection may be accepted at the very moment that the port closes, so quiet counts from the next check on.
        final boolean accepting = phase == Phase.SERVING;
        if (phase == Phase.SERVING && elapsedMs >= timing.stopAcceptingMs()) {
            transitionTo(Phase.NOT_ACCEPTING);
            connections.stopAccepting();
        }
        if (phase == Phase.NOT_ACCEPTING && elapsedMs >= timing.rejectMs()) {
            transitionTo(Phase.REJECTING);
            requests.rejectNew();
        }
        if (phase == Phase.REJECTING && elapsedMs >= timing.closeIdleMs()) {
            transitionTo(Phase.CLOSING_IDLE);
            connections.closeIdle();
        }
        final boolean drained = !accepting && connections.open() == 0 && !requests.inFlight();
        if (phase == Phase.CLOSING_IDLE && !drained && elapsedMs >= timing.abortMs()) {
            transitionTo(Phase.ABORTED);
            abortedRequests = requests.abort();
            listener.onRequestsEnded();
        }
        if (drained || elapsedMs >= timing.maxMs()) {
            end(elapsedMs);
        } else {
            clock.after(timing.checkMs(), this::onTick);
        }
    }

    private void end(final long elapsedMs) {
        LOG.atInfo().log(
                "event=shutdown_drained elapsedMs=%s abortedRequests=%s openConnections=%s",
                elapsedMs, abortedRequests, connections.open());
        final boolean requestsEnded = phase == Phase.ABORTED;
        transitionTo(Phase.ENDED);
        if (!requestsEnded) {
            listener.onRequestsEnded();
        }
        listener.onEnded();
    }

    /** Phases follow in their order; any of them may be the last before the end. */
    private void transitionTo(final Phase next) {
        assert next == Phase.ENDED && phase != Phase.ENDED || next.ordinal() == phase.ordinal() + 1
                : phase + " to " + next;
        LOG.atFine().log("event=shutdown_phase from=%s to=%s elapsedMs=%s", phase, next, clock.nowMs() - startedMs);
        phase = next;
    }
}
