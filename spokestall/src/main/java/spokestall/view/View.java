package spokestall.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import spokestall.time.Clock;
import spokestall.time.FleetClock;
import spokestall.wire.Post;

/**
 * A partial view of the fleet, shuffled with a neighbour on each beat. A neighbour that doesn't answer is dropped
 * for a while; the seeds are asked again now and then, so that a view that split joins again.
 */
public final class View {
    /** Sizes and spans, from the settings. */
    public record Pace(int size, int sample, long goneMs) {
    }

    private final Member self;
    private final List<String> seeds;
    private final Post post;
    private final Clock clock;
    private final FleetClock fleet;
    private final Random random;
    private final Pace pace;
    private final Map<String, Member> known = new TreeMap<>();
    private final Map<String, Long> learnedMs = new HashMap<>();
    private boolean leaving;
    private int beat;

    /** Example: {@code new View(self, settings.seeds(), post, clock, fleet, random, pace)} */
    public View(final Member self, final List<String> seeds, final Post post, final Clock clock,
            final FleetClock fleet, final Random random, final Pace pace) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.post = post;
        this.clock = clock;
        this.fleet = fleet;
        this.random = random;
        this.pace = pace;
    }

    /** This node as others should know it. Example: {@code view.self().name()} */
    public Member self() {
        return new Member(self.name(), self.address(), self.httpAddress(), self.core(), self.district(),
                self.region(), self.life(), fleet.nowMs(), leaving, self.cores(), self.edges(), self.alsoEdge());
    }

    /** Tells the neighbours from now on that this node is going. Example: {@code view.leave();} */
    public void leave() {
        leaving = true;
    }

    /** The members known now, this node not among them. Example: {@code view.members().size()} */
    public Collection<Member> members() {
        final long nowMs = clock.nowMs();
        known.values().removeIf(m -> nowMs - learnedMs.getOrDefault(m.name(), 0L) > pace.goneMs());
        learnedMs.keySet().retainAll(known.keySet());
        return known.values();
    }

    /** A member by its name, or null. Example: {@code view.member("d2-edge")} */
    public Member member(final String name) {
        return name.equals(self.name()) ? self() : known.get(name);
    }

    /** One beat: offers a sample to the neighbour heard longest ago, and to a seed. Example: {@code view.tick();} */
    public void tick() {
        final List<Member> all = new ArrayList<>(members());
        final int turn = beat++;
        if (!all.isEmpty()) {
            all.sort(Comparator.comparingLong(m -> learnedMs.get(m.name())));
            offer(all.get(0).address(), false, 0);
            offer(all.get(random.nextInt(all.size())).address(), false, 0);
        }
        if (all.size() < pace.sample() || turn % 4 == 0) {
            offer(seeds.get(turn / (all.isEmpty() ? 1 : 4) % seeds.size()), false, 0);
        }
    }

    private void offer(final String to, final boolean reply, final long echoMs) {
        if (to.equals(self.address())) {
            return;
        }
        final List<Member> sample = new ArrayList<>(known.values());
        java.util.Collections.shuffle(sample, random);
        final List<Member> part = sample.subList(0, Math.min(sample.size(), pace.sample()));
        post.send(to, new ViewNote.Shuffle(self.address(), self(), clock.nowMs(), reply, echoMs, fleet.nowMs(),
                fleet.settled(), List.copyOf(part)));
    }

    /** Hears a neighbour's sample. Example: {@code view.hear(shuffle);} */
    public void hear(final ViewNote note) {
        final ViewNote.Shuffle s = (ViewNote.Shuffle) note;
        learn(s.self(), 0);
        if (s.reply()) {
            fleet.heard(s.self().name(), s.fleetMs(), s.settled(), s.echoMs());
        } else {
            offer(s.from(), true, s.sentMs());
        }
        for (final Member m : s.sample()) {
            learn(m, Math.max(0, s.fleetMs() - m.heardMs()));
        }
    }

    private void learn(final Member m, final long ageMs) {
        if (m.name().equals(self.name()) || ageMs > pace.goneMs()) {
            return;
        }
        final Member had = known.get(m.name());
        final boolean newer = had == null || m.life() > had.life()
                || m.life() == had.life() && m.heardMs() > had.heardMs();
        if (!newer) {
            return;
        }
        known.put(m.name(), m);
        learnedMs.put(m.name(), clock.nowMs() - ageMs);
        if (known.size() > pace.size()) {
            known.values().stream().min(Comparator.comparingLong(k -> learnedMs.get(k.name())))
                    .ifPresent(oldest -> known.remove(oldest.name()));
        }
    }
}
