package spokestall.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class UsageCounterTest {
    private record Sent(String to, UsageMessage.Counts counts) {}

    private static final List<String> CORES = List.of("a", "b", "c", "d");
    private final List<Sent> sent = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);
    private final FleetClock fleet = new FleetClock(clock, 100);

    private UsageCounter counter(final long uncountedMaxMs) {
        fleet.onPeerReading("p", clock.nowMs(), true, clock.nowMs());
        fleet.onPeerReading("q", clock.nowMs(), true, clock.nowMs());
        return new UsageCounter(
                new EdgeIdentity("e", "e", 7),
                new CounterLimits(5000, 1000, 3, uncountedMaxMs, 4, 100),
                clock,
                fleet,
                (to, message) -> sent.add(new Sent(to, (UsageMessage.Counts) message)),
                () -> CORES);
    }

    private void acknowledge(final UsageCounter counter, final Sent push, final long incarnation) {
        counter.onMessage(new UsageMessage.CountsAcknowledged(push.to, push.counts.pushId(), incarnation), push.to);
    }

    private List<Sent> tick(final UsageCounter counter, final long ms) {
        clock.advance(ms);
        sent.clear();
        counter.onTick();
        return List.copyOf(sent);
    }

    @Test
    void pushesOnlyChangedCountsAndWithoutRequestsOnlyClosedWindows() {
        final UsageCounter counter = counter(200);
        tick(counter, 10).forEach(s -> acknowledge(counter, s, 1));
        counter.onStarted("t1");
        final List<Sent> first = tick(counter, 10);
        assertThat(first).hasSize(4);
        assertThat(first.get(0).counts.counts().get(0).startedByTenant()).isEqualTo(Map.of("t1", 1L));
        first.forEach(s -> acknowledge(counter, s, 1));
        counter.onStarted("t2");
        final List<Sent> second = tick(counter, 10);
        assertThat(second.get(0).counts.counts()).hasSize(1);
        assertThat(second.get(0).counts.counts().get(0).startedByTenant()).isEqualTo(Map.of("t2", 1L));
        second.forEach(s -> acknowledge(counter, s, 1));
        int pushes = 0;
        for (int i = 0; i < 2000; i++) {
            final List<Sent> more = tick(counter, 10);
            pushes += more.size();
            more.forEach(s -> acknowledge(counter, s, 1));
        }
        assertThat(pushes)
                .as("20 s contain four windows; the closing of each is pushed once to each of four cores")
                .isBetween(12, 20);
    }

    @Test
    void resendsCountsToUnacknowledgedCoresUntilAMajorityAcknowledges() {
        final UsageCounter counter = counter(200);
        tick(counter, 10).forEach(s -> acknowledge(counter, s, 1));
        counter.onStarted("t1");
        final List<Sent> first = tick(counter, 10);
        acknowledge(counter, first.get(0), 1);
        acknowledge(counter, first.get(0), 1);
        acknowledge(counter, first.get(1), 1);
        assertThat(counter.mayStart()).isTrue();
        assertThat(tick(counter, 50)).isEmpty();
        final List<Sent> again = tick(counter, 60);
        assertThat(again).extracting(Sent::to).containsExactly("c", "d");
        clock.advance(100);
        assertThat(counter.mayStart())
                .as("two of four cores are not a majority")
                .isFalse();
        acknowledge(counter, again.get(0), 1);
        assertThat(counter.mayStart()).isTrue();
        assertThat(tick(counter, 200)).isEmpty();
    }

    @Test
    void pushesCompleteWindowsAgainAfterACoreRestarts() {
        final UsageCounter counter = counter(200);
        counter.onStarted("t1");
        tick(counter, 10).forEach(s -> acknowledge(counter, s, 1));
        counter.onStarted("t2");
        final List<Sent> second = tick(counter, 10);
        acknowledge(counter, second.get(0), 2);
        final List<Sent> complete = tick(counter, 10);
        assertThat(complete)
                .anySatisfy(s -> assertThat(s.counts.counts())
                        .anySatisfy(c -> assertThat(c.startedByTenant()).isEqualTo(Map.of("t1", 1L, "t2", 1L))));
    }

    @Test
    void withoutALimitRequestsStartWithoutAMajorityAndAllCountsAreDelivered() {
        final UsageCounter counter = counter(0);
        for (int i = 0; i < 60; i++) {
            counter.onStarted("t" + i);
            tick(counter, 50);
            assertThat(counter.mayStart()).isTrue();
        }
        final Map<String, Long> all = new TreeMap<>();
        tick(counter, 200).stream()
                .filter(s -> s.to.equals("a"))
                .forEach(s -> s.counts
                        .counts()
                        .forEach(c -> c.startedByTenant().forEach((tenant, n) -> all.merge(tenant, n, Math::max))));
        assertThat(all).hasSize(60);
    }
}
