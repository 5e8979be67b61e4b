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
    private int inFlight;

    private void say(final String step) {
        steps.add(step + "@" + (clock.nowMs() - BEGUN_MS));
    }

    private void depart() {
        final ClientConnections to = new ClientConnections() {
            @Override
            public void endWithAnswers() {
                say("endWithAnswers");
            }

            @Override
            public void stopAccepting() {
                say("stopAccepting");
            }

            @Override
            public void endResting() {
                say("endResting");
            }

            @Override
            public int open() {
                return connections;
            }
        };
        final GracefulShutdown.Requests requests = new GracefulShutdown.Requests() {
            @Override
            public void deny() {
                say("deny");
            }

            @Override
            public void giveUp() {
                say("giveUp");
            }

            @Override
            public boolean open() {
                return inFlight > 0;
            }
        };
        final GracefulShutdown.Timing timing = new GracefulShutdown.Timing(200, 700, 900, 1000, 20, 50);
        new GracefulShutdown(to, requests, clock, timing, () -> say("done")).begin();
        clock.runAll();
    }

    @Test
    void itUsesItsWholeTimeWhileAConnectionIsOpen() {
        connections = 1;
        depart();
        assertThat(steps)
                .containsExactly(
                        "endWithAnswers@0",
                        "stopAccepting@200",
                        "deny@700",
                        "endResting@900",
                        "giveUp@1000",
                        "done@1050");
    }

    @Test
    void itIsOverOnceNothingIsOpenAndNothingMoreCanCome() {
        depart();
        assertThat(steps).containsExactly("endWithAnswers@0", "stopAccepting@200", "done@220");
    }

    @Test
    void itWaitsForAConnectionThatWasTakenAsThePortClosed() {
        clock.after(205, () -> connections = 1);
        clock.after(405, () -> connections = 0);
        depart();
        assertThat(steps).containsExactly("endWithAnswers@0", "stopAccepting@200", "done@420");
    }

    @Test
    void itWaitsForTheLastConnectionAndTheLastRequest() {
        connections = 1;
        inFlight = 1;
        clock.after(300, () -> connections = 0);
        clock.after(505, () -> inFlight = 0);
        depart();
        assertThat(steps).containsExactly("endWithAnswers@0", "stopAccepting@200", "done@520");
    }
}
