package spokestall.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * A partial view of the fleet, shuffled with a neighbour on each beat. A neighbour that doesn't answer is dropped
 * for a while; the seeds are asked again now and then, so that a view that split joins again.
 */
public final class PartialView {
    /** Sizes and spans, from the settings. For a while after it learned of a node, or that one is gone, a view is eager:
     * it shuffles on each beat, not on every other, and says more. */
    public record Timing(int size, int sample, long goneMs, long eagerMs) {}

    private final NodeInfo self;
    private List<String> seeds;
    private final MessageSender post;
    private final Clock clock;
    private final FleetClock fleet;
    private final Random random;
    private final Timing timing;
    private final Map<String, NodeInfo> known = new TreeMap<>();
    private final Map<String, Long> learnedMs = new HashMap<>();
    private final Map<String, Long> newMs = new HashMap<>();
    private final Map<String, Long> offeredMs = new HashMap<>();
    private boolean leaving;
    private int tick;
    private long changedMs;
    private long changes;
    /** No member is unheard for too long before then. */
    private long nextGoneMs;

    /** Example: {@code new PartialView(self, settings.seeds(), post, clock, fleet, random, timing)} */
    public PartialView(
            final NodeInfo self,
            final List<String> seeds,
            final MessageSender post,
            final Clock clock,
            final FleetClock fleet,
            final Random random,
            final Timing timing) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.post = post;
        this.clock = clock;
        this.fleet = fleet;
        this.random = random;
        this.timing = timing;
        this.changedMs = clock.nowMs();
    }

    /** This node as others should know it. */
    public NodeInfo self() {
        return self.at(fleet.nowMs(), leaving);
    }

    /** Asks these seeds from now on. */
    public void seeds(final List<String> newer) {
        seeds = List.copyOf(newer);
    }

    /** Tells the neighbours from now on that this node is going. */
    public void leave() {
        leaving = true;
    }

    /** The members known now, this node not among them. */
    public Collection<NodeInfo> members() {
        final long nowMs = clock.nowMs();
        if (nowMs <= nextGoneMs) {
            return known.values();
        }
        if (known.values().removeIf(m -> nowMs > goneMs(m.name()))) {
            changedMs = nowMs;
            learnedMs.keySet().retainAll(known.keySet());
            newMs.keySet().retainAll(known.keySet());
            offeredMs.keySet().retainAll(known.keySet());
        }
        nextGoneMs = nowMs + timing.goneMs();
        known.keySet().forEach(name -> nextGoneMs = Math.min(nextGoneMs, goneMs(name)));
        return known.values();
    }

    /** Grows with every member that is new, or serves now and did not. */
    public long changes() {
        return changes;
    }

    private long goneMs(final String name) {
        return learnedMs.getOrDefault(name, 0L) + timing.goneMs();
    }

    /** A member by its name, or null. */
    public NodeInfo member(final String name) {
        return name.equals(self.name()) ? self() : known.get(name);
    }

    /** One beat: offers a sample to the neighbour that was left alone longest, and now and then to a seed. */
    public void tick() {
        final List<NodeInfo> all = new ArrayList<>(members());
        final int turn = tick++;
        if (!eager() && turn % 2 != 0) {
            return;
        }
        if (!all.isEmpty()) {
            Collections.shuffle(all, random);
            all.sort(Comparator.comparingLong(
                    m -> Math.max(learnedMs.get(m.name()), offeredMs.getOrDefault(m.name(), Long.MIN_VALUE))));
            offeredMs.put(all.get(0).name(), clock.nowMs());
            offer(all.get(0).address(), false, 0);
        }
        if (all.size() < timing.sample() || turn % 16 == 0) {
            offer(seeds.get(turn / (all.size() < timing.sample() ? 1 : 16) % seeds.size()), false, 0);
        }
    }

    private boolean eager() {
        return clock.nowMs() - changedMs < timing.eagerMs();
    }

    /** Offers a sample to every seed and to these too: a node that has just started waits for no beat. */
    public void greet(final List<String> others) {
        final Set<String> all = new TreeSet<>(seeds);
        all.addAll(others);
        all.forEach(to -> offer(to, false, 0));
    }

    private void offer(final String to, final boolean reply, final long echoMs) {
        if (to.equals(self.address())) {
            return;
        }
        final long nowMs = clock.nowMs();
        final List<NodeInfo> sample = new ArrayList<>(known.values());
        Collections.shuffle(sample, random);
        sample.removeIf(m -> m.address().equals(to));
        sample.sort(Comparator.comparing(
                m -> nowMs - newMs.getOrDefault(m.name(), Long.MIN_VALUE / 2) >= timing.eagerMs()));
        final List<NodeInfo> part =
                sample.subList(0, Math.min(sample.size(), eager() ? timing.sample() : timing.sample() / 2));
        post.send(
                to,
                new GossipMessage.Shuffle(
                        self.address(),
                        self(),
                        nowMs,
                        reply,
                        echoMs,
                        fleet.nowMs(),
                        fleet.settled(),
                        List.copyOf(part)));
    }

    /** Hears a neighbour's sample. */
    public void hear(final GossipMessage message) {
        final GossipMessage.Shuffle s = (GossipMessage.Shuffle) message;
        learn(s.self(), 0);
        if (s.reply()) {
            fleet.onPeerReading(s.self().name(), s.fleetMs(), s.settled(), s.echoMs());
        } else {
            offer(s.from(), true, s.sentMs());
        }
        for (final NodeInfo m : s.sample()) {
            learn(m, Math.max(0, s.fleetMs() - m.heardMs()));
        }
    }

    private void learn(final NodeInfo m, final long ageMs) {
        if (m.name().equals(self.name()) || ageMs > timing.goneMs()) {
            return;
        }
        final NodeInfo had = known.get(m.name());
        final boolean newer = had == null
                || m.incarnation() > had.incarnation()
                || m.incarnation() == had.incarnation() && m.heardMs() > had.heardMs();
        if (!newer) {
            return;
        }
        if (had == null || m.incarnation() > had.incarnation()) {
            newMs.put(m.name(), clock.nowMs());
            changedMs = clock.nowMs();
        }
        changes += had == null || had.serves() != m.serves() ? 1 : 0;
        known.put(m.name(), m);
        learnedMs.put(m.name(), clock.nowMs() - ageMs);
        nextGoneMs = Math.min(nextGoneMs, goneMs(m.name()));
        if (known.size() > timing.size()) {
            known.values().stream()
                    .min(Comparator.comparingLong(k -> learnedMs.get(k.name())))
                    .ifPresent(oldest -> known.remove(oldest.name()));
        }
    }
}
