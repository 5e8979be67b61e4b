package spokestall.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class PartialViewTest {
    private static final long GONE_MS = 1000;
    private final ManualClock clock = new ManualClock(1_000_000);
    private final PartialView view = new PartialView(
            member("self", 0),
            List.of("10.0.0.9:1"),
            (to, message) -> {},
            clock,
            new FleetClock(clock, 250),
            new Random(1),
            new PartialView.Timing(8, 6, GONE_MS, 500));

    private static NodeInfo member(final String name, final long heardMs) {
        return new NodeInfo(name, name + ":1", name + ":80", false, "d1", "r1", 1, heardMs, false, 0, 0, true);
    }

    private void hear(final String from, final NodeInfo... sample) {
        view.hear(new GossipMessage.Shuffle(
                from + ":1",
                member(from, clock.nowMs()),
                clock.nowMs(),
                true,
                clock.nowMs(),
                clock.nowMs(),
                true,
                List.of(sample)));
    }

    private List<String> known() {
        return view.members().stream().map(NodeInfo::name).toList();
    }

    @Test
    void eachMemberIsForgottenOnceItWasUnheardForTheSpan() {
        hear("a");
        clock.advance(400);
        hear("b");
        assertThat(known()).containsExactly("a", "b");
        clock.advance(600);
        assertThat(known()).as("a was heard the span ago, not longer").containsExactly("a", "b");
        clock.advance(1);
        assertThat(known()).containsExactly("b");
        clock.advance(400);
        assertThat(known()).isEmpty();
    }

    @Test
    void whatIsToldOfAnotherCountsFromWhenItWasHeard() {
        hear("a", member("c", clock.nowMs() - 900));
        assertThat(known()).containsExactly("a", "c");
        clock.advance(101);
        assertThat(known()).containsExactly("a");
        hear("a");
        clock.advance(900);
        assertThat(known()).as("heard again").containsExactly("a");
    }
}
