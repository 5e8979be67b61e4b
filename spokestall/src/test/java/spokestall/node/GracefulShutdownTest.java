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
        final GracefulShutdown.Timing timing = new GracefulShutdown.Timing(200, 700, 900, 1000, 20, 50);
        new GracefulShutdown(clientConnections, requests, clock, timing, () -> record("done")).begin();
        clock.runAll();
    }

    @Test
    void usesAllItsTimeWhileAConnectionIsOpen() {
        connections = 1;
        shutDown();
        assertThat(steps)
                .containsExactly(
                        "closeAfterResponses@0",
                        "stopAccepting@200",
                        "rejectNew@700",
                        "closeIdle@900",
                        "abort@1000",
                        "done@1050");
    }

    @Test
    void endsOnceNothingIsOpenAndNothingMoreCanArrive() {
        shutDown();
        assertThat(steps).containsExactly("closeAfterResponses@0", "stopAccepting@200", "done@220");
    }

    @Test
    void waitsForAConnectionThatWasAcceptedAsThePortClosed() {
        clock.after(205, () -> connections = 1);
        clock.after(405, () -> connections = 0);
        shutDown();
        assertThat(steps).containsExactly("closeAfterResponses@0", "stopAccepting@200", "done@420");
    }

    @Test
    void waitsForTheLastConnectionAndTheLastRequest() {
        connections = 1;
        requestsInFlight = 1;
        clock.after(300, () -> connections = 0);
        clock.after(505, () -> requestsInFlight = 0);
        shutDown();
        assertThat(steps).containsExactly("closeAfterResponses@0", "stopAccepting@200", "done@520");
    }

    /** A large response on a narrow link takes a while to be written; its request is no longer in flight. */
    @Test
    void aResponseThatIsBeingWrittenWhenTheRestIsAbortedIsCompleted() {
        connections = 1;
        clock.after(1200, () -> connections = 0);
        shutDown();
        assertThat(steps).containsSubsequence("closeIdle@900", "abort@1000", "done@1200");
    }
}
