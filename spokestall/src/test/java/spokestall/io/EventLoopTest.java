package spokestall.io;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    private static final int CAPACITY = 3;

    /** Turns that the event loop submitted to its workers. */
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();

    private final List<Integer> ran = new ArrayList<>();
    private final EventLoop loop = new EventLoop(turns::add, CAPACITY);

    private void runTurns() {
        while (!turns.isEmpty()) {
            turns.poll().run();
        }
    }

    @Test
    void runsEventsInOrderInOneTurnAtATime() {
        for (int i = 0; i < 1000; i++) {
            final int number = i;
            loop.execute(() -> ran.add(number));
            assertThat(turns).hasSize(1);
        }
        while (!turns.isEmpty()) {
            turns.poll().run();
            assertThat(turns).hasSizeLessThanOrEqualTo(1);
        }
        assertThat(ran).hasSize(1000).isSorted();
    }

    @Test
    void rejectsOffersButNotExecutionsWhileTheQueueIsFull() {
        for (int i = 0; i < CAPACITY; i++) {
            assertThat(loop.offer(() -> ran.add(1))).isTrue();
        }
        assertThat(loop.offer(() -> ran.add(2))).isFalse();
        loop.execute(() -> ran.add(3));
        runTurns();
        assertThat(ran).containsExactly(1, 1, 1, 3);
        assertThat(loop.offer(() -> ran.add(4))).isTrue();
    }

    @Test
    void continuesAfterAnEventThatThrows() {
        loop.execute(() -> {
            throw new IllegalStateException("thrown by a test");
        });
        loop.execute(() -> ran.add(1));
        runTurns();
        assertThat(ran).containsExactly(1);
    }

    @Test
    void continuesAfterAnEventThatOverflowsItsStack() {
        loop.execute(() -> {
            throw new StackOverflowError("thrown by a test");
        });
        loop.execute(() -> ran.add(1));
        runTurns();
        assertThat(ran).containsExactly(1);
    }
}
