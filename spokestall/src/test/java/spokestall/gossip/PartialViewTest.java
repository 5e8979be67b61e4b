package spokestall.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class PartialViewTest {
    private static final long MEMBER_TIMEOUT_MS = 1000;
    private final ManualClock clock = new ManualClock(1_000_000);
    private final PartialView view = new PartialView(
            member("self", 0),
            List.of("10.0.0.9:1"),
            (to, message) -> {},
            clock,
            new FleetClock(clock, 250),
            new Random(1),
            new ViewParameters(8, 6, MEMBER_TIMEOUT_MS, 500));

    private static NodeInfo member(final String name, final long lastSeenMs) {
        return new NodeInfo(name, name + ":1", name + ":80", false, "d1", "r1", 1, lastSeenMs, false, 0, 0, true);
    }

    private void receiveShuffle(final String from, final NodeInfo... sample) {
        view.onMessage(new GossipMessage.Shuffle(
                from + ":1",
                member(from, clock.nowMs()),
                clock.nowMs(),
                true,
                clock.nowMs(),
                clock.nowMs(),
                true,
                List.of(sample)));
    }

    private List<String> memberNames() {
        return view.members().stream().map(NodeInfo::name).toList();
    }

    @Test
    void removesEachMemberNotSeenWithinTheTimeout() {
        receiveShuffle("a");
        clock.advance(400);
        receiveShuffle("b");
        assertThat(memberNames()).containsExactly("a", "b");
        clock.advance(600);
        assertThat(memberNames()).as("a was last seen exactly one time-out ago").containsExactly("a", "b");
        clock.advance(1);
        assertThat(memberNames()).containsExactly("b");
        clock.advance(400);
        assertThat(memberNames()).isEmpty();
    }

    @Test
    void timeoutOfASampledMemberStartsAtItsLastSeenTime() {
        receiveShuffle("a", member("c", clock.nowMs() - 900));
        assertThat(memberNames()).containsExactly("a", "c");
        clock.advance(101);
        assertThat(memberNames()).containsExactly("a");
        receiveShuffle("a");
        clock.advance(900);
        assertThat(memberNames()).as("a was seen again").containsExactly("a");
    }
}
