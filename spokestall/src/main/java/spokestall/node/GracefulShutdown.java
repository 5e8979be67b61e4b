package spokestall.node;

import com.google.common.flogger.FluentLogger;
import spokestall.time.Clock;

/**
 * Shuts down a node's service to its clients in phases. The node first continues to serve while each response closes
 * its connection; then it stops accepting connections; then it rejects new requests, which have not run; then it closes
 * idle connections; then it answers the remaining requests in flight as failed. After that, responses that are still
 * being written have the remaining time to complete. The shutdown ends early once no connection is open and no request
 * is in flight.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class GracefulShutdown {
    /**
     * The start of each phase, in milliseconds after {@link #begin}, in ascending order.
     *
     * @param stopAcceptingMs when the node stops accepting connections
     * @param rejectMs when the node starts to reject new requests
     * @param closeIdleMs when the node closes idle connections
     * @param abortMs when the node answers the requests in flight as failed
     * @param maxMs when the shutdown ends, even if responses are still being written
     * @param checkMs the interval between checks of the connections
     */
    record Timing(long stopAcceptingMs, long rejectMs, long closeIdleMs, long abortMs, long maxMs, long checkMs) {
        private static final double STOP_ACCEPTING_RATIO = 0.17;
        private static final double REJECT_RATIO = 0.45;
        private static final double CLOSE_IDLE_AFTER_REJECT_RATIO = 0.13;
        private static final double ABORT_RATIO = 0.94;
        /**
         * The latest start of rejecting, however long the shutdown may take: clients have had time to learn of the
         * shutdown by then, and a request in flight may need all the remaining time.
         */
        private static final long REJECT_MAX_MS = 2600;

        /** Returns the phases of a shutdown that takes at most {@code maxMs}. */
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

    /** The client requests of this node. */
    interface Requests {
        /** Rejects all further requests; requests in flight continue. */
        void rejectNew();

        /** Answers all requests in flight as failed, and returns their number. */
        int abort();

        /** Returns whether any request is in flight. */
        boolean inFlight();
    }

    /** Receives the progress of the shutdown; each method is called once. */
    interface Listener {
        /**
         * Called when no request is in flight any more, before {@link #onEnded}; responses may still be being written.
         */
        void onRequestsEnded();

        /** Called when the shutdown has ended. */
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
        // A connection may be accepted while the port closes, so an empty node counts as drained only from the next
        // check on.
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

    /** Changes the phase. Phases follow each other in their declared order; ENDED may follow any of them. */
    private void transitionTo(final Phase next) {
        assert next == Phase.ENDED && phase != Phase.ENDED || next.ordinal() == phase.ordinal() + 1
                : phase + " to " + next;
        LOG.atFine().log("event=shutdown_phase from=%s to=%s elapsedMs=%s", phase, next, clock.nowMs() - startedMs);
        phase = next;
    }
}
