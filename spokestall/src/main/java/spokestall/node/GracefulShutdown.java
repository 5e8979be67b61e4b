package spokestall.node;

import com.google.common.flogger.FluentLogger;
import spokestall.time.Clock;

/**
 * Ends a node's service to its clients: it serves on while connections are open, each response closing its connection; then
 * accepts no more connections; then rejects new requests, which have not run; then closes idle connections; and at the end
 * of its time answers what is still in flight. It ends sooner once no connection is open.
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
     * @param maxMs when what is still in flight is answered as failed
     * @param checkMs how often the connections are checked
     * @param writeMs how long a last answer has to be written
     */
    record Timing(long stopAcceptingMs, long rejectMs, long closeIdleMs, long maxMs, long checkMs, long writeMs) {}

    /** The clients' requests at this node. */
    interface Requests {
        /** Rejects all requests from now on; those in flight continue. */
        void rejectNew();

        /** Answers all that is in flight, as failed, and returns how many requests that were. */
        int abort();

        /** Returns whether any request is in flight. */
        boolean inFlight();
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
        ENDED
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final ClientConnections connections;
    private final Requests requests;
    private final Clock clock;
    private final Timing timing;
    private final Runnable done;
    private final long begunMs;
    private Phase phase = Phase.SERVING;

    /** {@code done} runs once, when the shutdown has ended. */
    GracefulShutdown(
            final ClientConnections connections,
            final Requests requests,
            final Clock clock,
            final Timing timing,
            final Runnable done) {
        this.connections = connections;
        this.requests = requests;
        this.clock = clock;
        this.timing = timing;
        this.done = done;
        this.begunMs = clock.nowMs();
    }

    /** Begins the shutdown. Called once. */
    void begin() {
        connections.closeAfterResponses();
        onTick();
    }

    private void onTick() {
        final long elapsedMs = clock.nowMs() - begunMs;
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
        final boolean quiet = connections.open() == 0 && !requests.inFlight();
        if (!accepting && quiet) {
            end(elapsedMs, 0);
            done.run();
        } else if (elapsedMs >= timing.maxMs()) {
            end(elapsedMs, requests.abort());
            clock.after(timing.writeMs(), done);
        } else {
            clock.after(timing.checkMs(), this::onTick);
        }
    }

    private void end(final long elapsedMs, final int abortedRequests) {
        LOG.atInfo().log(
                "event=shutdown_drained elapsedMs=%s abortedRequests=%s openConnections=%s",
                elapsedMs, abortedRequests, connections.open());
        transitionTo(Phase.ENDED);
    }

    /** Phases follow in their order; any of them may be the last before the end. */
    private void transitionTo(final Phase next) {
        assert next == Phase.ENDED && phase != Phase.ENDED || next.ordinal() == phase.ordinal() + 1
                : phase + " to " + next;
        LOG.atFine().log("event=shutdown_phase from=%s to=%s elapsedMs=%s", phase, next, clock.nowMs() - begunMs);
        phase = next;
    }
}
