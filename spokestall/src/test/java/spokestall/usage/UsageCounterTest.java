package spokestall.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class UsageCounterTest {
    private record Sent(String to, UsageMessage.Counts counts) {}

    private static final List<String> CORES = List.of("a", "b", "c", "d");
    private final List<Sent> sent = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);
    private final FleetClock fleet = new FleetClock(clock, 100);

    private UsageCounter counter(final long uncountedMs) {
        fleet.heard("p", clock.nowMs(), true, clock.nowMs());
        fleet.heard("q", clock.nowMs(), true, clock.nowMs());
        return new UsageCounter(
                "e",
                "e",
                7,
                new UsageCounter.Pace(5000, 1000, 3, uncountedMs, 4, 100),
                clock,
                fleet,
                (to, note) -> sent.add(new Sent(to, (UsageMessage.Counts) note)),
                () -> CORES);
    }

    private void had(final UsageCounter counter, final Sent one, final long life) {
        counter.hear(new UsageMessage.CountsHad(one.to, one.counts.stamp(), life), one.to);
    }

    private List<Sent> beat(final UsageCounter counter, final long ms) {
        clock.advance(ms);
        sent.clear();
        counter.tick();
        return List.copyOf(sent);
    }

    @Test
    void onlyWhatChangedIsPushedAndNothingAtRestButEachClosing() {
        final UsageCounter counter = counter(200);
        beat(counter, 10).forEach(s -> had(counter, s, 1));
        counter.begun("t1");
        final List<Sent> first = beat(counter, 10);
        assertThat(first).hasSize(4);
        assertThat(first.get(0).counts.counts().get(0).begun()).isEqualTo(Map.of("t1", 1L));
        first.forEach(s -> had(counter, s, 1));
        counter.begun("t2");
        final List<Sent> second = beat(counter, 10);
        assertThat(second.get(0).counts.counts()).hasSize(1);
        assertThat(second.get(0).counts.counts().get(0).begun()).isEqualTo(Map.of("t2", 1L));
        second.forEach(s -> had(counter, s, 1));
        int pushes = 0;
        for (int i = 0; i < 2000; i++) {
            final List<Sent> more = beat(counter, 10);
            pushes += more.size();
            more.forEach(s -> had(counter, s, 1));
        }
        assertThat(pushes)
                .as("20 s are four windows, each closed once to each of four")
                .isBetween(12, 20);
    }

    @Test
    void whoDoesNotSayItHasThemIsToldAgainUntilAMajorityHas() {
        final UsageCounter counter = counter(200);
        beat(counter, 10).forEach(s -> had(counter, s, 1));
        counter.begun("t1");
        final List<Sent> first = beat(counter, 10);
        had(counter, first.get(0), 1);
        had(counter, first.get(0), 1);
        had(counter, first.get(1), 1);
        assertThat(counter.mayBegin()).isTrue();
        assertThat(beat(counter, 50)).isEmpty();
        final List<Sent> again = beat(counter, 60);
        assertThat(again).extracting(Sent::to).containsExactly("c", "d");
        clock.advance(100);
        assertThat(counter.mayBegin()).as("two of four are no majority").isFalse();
        had(counter, again.get(0), 1);
        assertThat(counter.mayBegin()).isTrue();
        assertThat(beat(counter, 200)).isEmpty();
    }

    @Test
    void aCoreThatCameBackGetsWholeWindowsAgain() {
        final UsageCounter counter = counter(200);
        counter.begun("t1");
        beat(counter, 10).forEach(s -> had(counter, s, 1));
        counter.begun("t2");
        final List<Sent> second = beat(counter, 10);
        had(counter, second.get(0), 2);
        final List<Sent> whole = beat(counter, 10);
        assertThat(whole)
                .anySatisfy(s -> assertThat(s.counts.counts())
                        .anySatisfy(c -> assertThat(c.begun()).isEqualTo(Map.of("t1", 1L, "t2", 1L))));
    }

    @Test
    void withNoBoundItGoesOnWithoutAMajorityAndEveryCountStillArrives() {
        final UsageCounter counter = counter(0);
        for (int i = 0; i < 60; i++) {
            counter.begun("t" + i);
            beat(counter, 50);
            assertThat(counter.mayBegin()).isTrue();
        }
        final Map<String, Long> all = new java.util.TreeMap<>();
        beat(counter, 200).stream()
                .filter(s -> s.to.equals("a"))
                .forEach(s -> s.counts
                        .counts()
                        .forEach(c -> c.begun().forEach((tenant, n) -> all.merge(tenant, n, Math::max))));
        assertThat(all).hasSize(60);
    }
}
