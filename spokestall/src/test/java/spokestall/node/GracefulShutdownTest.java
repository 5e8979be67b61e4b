package spokestall.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.time.EventClock;

class GracefulShutdownTest {
    private static final long BEGUN_MS = 1_000_000;
    private final EventClock clock = new EventClock(BEGUN_MS);
    private final List<String> steps = new ArrayList<>();
    private int connections;
    private int requestsInFlight;

    private void record(final String step) {
        steps.add(step + "@" + (clock.nowMs() - BEGUN_MS));
    }

    private void shutDown() {
        final ClientConnections clientConnections = new ClientConnections() {
            @Override
            public void closeAfterResponses() {
                record("closeAfterResponses");
            }

            @Override
            public void stopAccepting() {
                record("stopAccepting");
            }

            @Override
            public void closeIdle() {
                record("closeIdle");
            }

            @Override
            public int open() {
                return connections;
            }
        };
        final GracefulShutdown.Requests requests = new GracefulShutdown.Requests() {
            @Override
            public void rejectNew() {
                record("rejectNew");
            }

            @Override
            public int abort() {
                record("abort");
                return requestsInFlight;
            }

            @Override
            public boolean inFlight() {
                return requestsInFlight > 0;
            }
        };
        final GracefulShutdown.Listener listener = new GracefulShutdown.Listener() {
            @Override
            public void onRequestsEnded() {
                record("requestsEnded");
            }

            @Override
            public void onEnded() {
                record("done");
            }
        };
        final GracefulShutdown.Timing timing = new GracefulShutdown.Timing(200, 700, 900, 1000, 1300, 20);
        new GracefulShutdown(clientConnections, requests, clock, timing, listener).begin();
        clock.runAll();
    }

    @Test
    void takesTheMaximumTimeWhileAConnectionStaysOpen() {
        connections = 1;
        shutDown();
        assertThat(steps)
                .containsExactly(
                        "closeAfterResponses@0",
                        "stopAccepting@200",
                        "rejectNew@700",
                        "closeIdle@900",
                        "abort@1000",
                        "requestsEnded@1000",
                        "done@1300");
    }

    @Test
    void endsEarlyOnceNoConnectionIsOpenAndNoneCanBeAccepted() {
        shutDown();
        assertThat(steps)
                .containsExactly("closeAfterResponses@0", "stopAccepting@200", "requestsEnded@220", "done@220");
    }

    @Test
    void waitsForAConnectionAcceptedWhileThePortCloses() {
        clock.after(205, () -> connections = 1);
        clock.after(405, () -> connections = 0);
        shutDown();
        assertThat(steps)
                .containsExactly("closeAfterResponses@0", "stopAccepting@200", "requestsEnded@420", "done@420");
    }

    @Test
    void waitsForTheLastConnectionAndTheLastRequest() {
        connections = 1;
        requestsInFlight = 1;
        clock.after(300, () -> connections = 0);
        clock.after(505, () -> requestsInFlight = 0);
        shutDown();
        assertThat(steps)
                .containsExactly("closeAfterResponses@0", "stopAccepting@200", "requestsEnded@520", "done@520");
    }

    /** Writing a large response over a slow link takes a while; its request is no longer in flight. */
    @Test
    void aResponseBeingWrittenAtTheAbortIsCompleted() {
        connections = 1;
        clock.after(1200, () -> connections = 0);
        shutDown();
        assertThat(steps).containsSubsequence("closeIdle@900", "abort@1000", "requestsEnded@1000", "done@1200");
    }

    @Test
    void newRequestsAreRejectedEarlyAndRequestsInFlightAreAbortedLate() {
        for (final long maxMs : List.of(5580L, 9300L)) {
            final GracefulShutdown.Timing timing = GracefulShutdown.Timing.within(maxMs, 20);
            assertThat(timing.rejectMs()).as("of %s", maxMs).isLessThan(3000).isGreaterThan(timing.stopAcceptingMs());
            assertThat(timing.closeIdleMs()).isBetween(timing.rejectMs() + 500, timing.abortMs());
            assertThat((double) timing.abortMs()).isBetween(0.93 * maxMs, 0.95 * maxMs);
            assertThat(timing.maxMs()).isEqualTo(maxMs);
        }
    }
}
