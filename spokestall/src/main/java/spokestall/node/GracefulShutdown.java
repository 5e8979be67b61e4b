package spokestall.node;

import spokestall.time.Clock;

/**
 * A node's way out towards those outside: it serves on while connections are open, each answer ending its connection;
 * then takes no more of them; then denies what still comes, which has not run; then ends the connections at rest; and at
 * the end of its time answers what is still under way. It is over sooner when no connection is open.
 */
final class GracefulShutdown {
    /** How long after its begin each step comes, the last one ending it, and how often it is looked at. An answer that
     * was given has so long to be written. */
    record Timing(long acceptMs, long admitMs, long restMs, long mostMs, long lookMs, long writeMs) {}

    /** What the node does of it. */
    interface Requests {
        /** Denies what comes from now on. */
        void deny();

        /** Answers all that is under way. */
        void giveUp();

        /** Whether anything is under way. */
        boolean open();
    }

    /** A node that answers no clients. */
    static final class Idle implements Requests {
        @Override
        public void deny() {}

        @Override
        public void giveUp() {}

        @Override
        public boolean open() {
            return false;
        }
    }

    private final ClientConnections connections;
    private final Requests requests;
    private final Clock clock;
    private final Timing timing;
    private final Runnable done;
    private final long begunMs;
    private boolean closed;
    private boolean denying;
    private boolean ending;

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

    void begin() {
        connections.endWithAnswers();
        look();
    }

    private void look() {
        final long spentMs = clock.nowMs() - begunMs;
        // A connection may be taken at the very moment that the port closes, so it is quiet at the next look at the
        // soonest.
        final boolean closedBefore = closed;
        closed = step(closed, spentMs >= timing.acceptMs(), connections::stopAccepting);
        denying = step(denying, spentMs >= timing.admitMs(), requests::deny);
        ending = step(ending, spentMs >= timing.restMs(), connections::endResting);
        final boolean quiet = connections.open() == 0 && !requests.open();
        if (closedBefore && quiet) {
            done.run();
        } else if (spentMs >= timing.mostMs()) {
            requests.giveUp();
            clock.after(timing.writeMs(), done);
        } else {
            clock.after(timing.lookMs(), this::look);
        }
    }

    private static boolean step(final boolean made, final boolean due, final Runnable step) {
        if (!made && due) {
            step.run();
        }
        return made || due;
    }
}
