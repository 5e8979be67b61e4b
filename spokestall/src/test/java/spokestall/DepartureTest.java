package spokestall;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import spokestall.time.Clock;

class DepartureTest {
    private record Event(long atMs, int number, Runnable run) {}

    /** A clock that is moved by its events. */
    private static final class EventClock implements Clock {
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : a.number - b.number);
        private long nowMs = 1_000_000;
        private int number;

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }

        @Override
        public void after(final long waitMs, final Runnable event) {
            events.add(new Event(nowMs + waitMs, number++, event));
        }

        void play() {
            while (!events.isEmpty()) {
                final Event event = events.poll();
                nowMs = event.atMs;
                event.run.run();
            }
        }
    }

    private static final long BEGUN_MS = 1_000_000;
    private final EventClock clock = new EventClock();
    private final List<String> steps = new ArrayList<>();
    private int connections;
    private int asks;

    private void say(final String step) {
        steps.add(step + "@" + (clock.nowMs() - BEGUN_MS));
    }

    private void depart() {
        final Connections to = new Connections() {
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
        final Departure.Requests requests = new Departure.Requests() {
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
                return asks > 0;
            }
        };
        final Departure.Pace pace = new Departure.Pace(200, 700, 900, 1000, 20, 50);
        new Departure(to, requests, clock, pace, () -> say("done")).begin();
        clock.play();
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
        asks = 1;
        clock.after(300, () -> connections = 0);
        clock.after(505, () -> asks = 0);
        depart();
        assertThat(steps).containsExactly("endWithAnswers@0", "stopAccepting@200", "done@520");
    }
}
