package spokestall.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import spokestall.gossip.NodeInfo;
import spokestall.message.MessageSender;
import spokestall.time.FleetClock;

/**
 * A core's part in knowing the upstreams: reads the platform's list when no other did of late, probes its share, and tells
 * what changed to every node, and that it read or probed to the other cores.
 */
public final class HealthChecker {
    /** How the prober reaches the platform and the upstreams. */
    public interface Reach {
        /** The platform's list, or null when it could not be had. */
        void list(long waitMs, Consumer<List<Endpoint>> done);

        /** An upstream's own word, or null. */
        void probe(String address, long waitMs, Consumer<Probe> done);
    }

    /** What an upstream says of itself; its warm-up began so long ago. */
    public record Probe(String instance, String service, boolean leaving, long readyForMs) {}

    /** Spans, from the settings. The fleet reads the list every {@code listMs}; an unchanged word is said anew every
     * {@code sayMs}. */
    public record Timing(
            long probeWaitMs,
            long listWaitMs,
            int failsMax,
            int sharingEdges,
            long listMs,
            long sayMs,
            boolean probes) {}

    /** How much later each next core in turn reads, as a part of the span. */
    private static final double LATER = 0.7;

    private static final long WARM_UP_APART_MS = 1000;
    private final NodeInfo self;
    private final EndpointRegistry endpointRegistry;
    private final Reach reach;
    private final MessageSender post;
    private final FleetClock fleet;
    private final Timing timing;
    private final Supplier<List<NodeInfo>> cores;
    private final Supplier<Collection<NodeInfo>> everyone;
    private final List<HealthObservation> changed = new ArrayList<>();
    private final Map<String, Integer> fails = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private boolean registryNow;
    private long triedMs = Long.MIN_VALUE / 2;
    private long pushed;
    private int tick;

    /** Example: see {@code Node}. */
    public HealthChecker(
            final NodeInfo self,
            final EndpointRegistry endpointRegistry,
            final Reach reach,
            final MessageSender post,
            final FleetClock fleet,
            final Timing timing,
            final Supplier<List<NodeInfo>> cores,
            final Supplier<Collection<NodeInfo>> everyone) {
        this.self = self;
        this.endpointRegistry = endpointRegistry;
        this.reach = reach;
        this.post = post;
        this.fleet = fleet;
        this.timing = timing;
        this.cores = cores;
        this.everyone = everyone;
    }

    /** One beat: list, probe, tell. */
    public void tick() {
        if (!fleet.settled()) {
            return;
        }
        tick++;
        final List<NodeInfo> others = cores.get();
        if (mayRead(others)) {
            read();
        }
        if (timing.probes()) {
            for (final Endpoint l : endpointRegistry.endpoints()) {
                if (l.present() && mine(l, others) && probing.add(l.instance())) {
                    probe(l);
                }
            }
            tell(others);
        }
    }

    /** One core reads at a time: each later one in the order of names waits longer to hear that another did. */
    private boolean mayRead(final List<NodeInfo> others) {
        final long nowMs = fleet.nowMs();
        if (endpointRegistry.lastListReadMs() == 0) {
            // What the others know comes first, so that what they listed long ago isn't taken for new.
            endpointRegistry.recordListRead(nowMs - timing.listMs() + timing.listMs() / 4);
        }
        final long rank =
                others.stream().filter(m -> m.name().compareTo(self.name()) < 0).count();
        final long slackMs = timing.listMs() / 32;
        return !registryNow
                && nowMs - triedMs >= timing.listMs() - slackMs
                && nowMs - endpointRegistry.lastListReadMs() >= (long) (timing.listMs() * (1 + LATER * rank)) - slackMs;
    }

    private void read() {
        registryNow = true;
        final long requestedMs = fleet.nowMs();
        triedMs = requestedMs;
        reach.list(timing.listWaitMs(), list -> {
            registryNow = false;
            if (list != null) {
                taken(list, requestedMs);
            }
        });
    }

    private void taken(final List<Endpoint> list, final long requestedMs) {
        final Map<String, Endpoint> now = new HashMap<>();
        list.forEach(l -> now.put(
                l.instance(),
                l.at(true, requestedMs, l.warmUpUntilMs() < 0 ? 0 : requestedMs + l.warmUpUntilMs(), requestedMs)));
        final List<Endpoint> update = new ArrayList<>();
        for (final Endpoint had : endpointRegistry.endpoints()) {
            final Endpoint l = now.remove(had.instance());
            if (l == null && had.present()) {
                update.add(had.at(false, requestedMs, had.warmUpUntilMs(), had.firstMs()));
            } else if (l != null && !same(had, l)) {
                update.add(l);
            }
        }
        update.addAll(now.values());
        endpointRegistry.merge(update, List.of());
        endpointRegistry.recordListRead(requestedMs);
        final DiscoveryMessage.Push push = new DiscoveryMessage.Push(update, List.of(), requestedMs);
        for (final NodeInfo other : update.isEmpty() ? cores.get() : everyone.get()) {
            post.send(other.address(), push);
        }
    }

    private static boolean same(final Endpoint had, final Endpoint now) {
        return had.present()
                && had.leaving() == now.leaving()
                && had.address().equals(now.address())
                && had.service().equals(now.service())
                && (Math.abs(had.warmUpUntilMs() - now.warmUpUntilMs()) < WARM_UP_APART_MS
                        || Math.max(had.warmUpUntilMs(), now.warmUpUntilMs()) <= now.timestampMs() + WARM_UP_APART_MS);
    }

    /** Each upstream is probed by a few cores, near ones first, elected alike by all. */
    private boolean mine(final Endpoint l, final List<NodeInfo> others) {
        int before = 0;
        final long myRank = rank(self, l);
        for (final NodeInfo other : others) {
            before += rank(other, l) < myRank ? 1 : 0;
        }
        return before < timing.sharingEdges();
    }

    private static long rank(final NodeInfo core, final Endpoint l) {
        final int near = core.region().equals(l.region()) ? 0 : 1;
        return ((long) near << 32) + Integer.toUnsignedLong((core.name() + l.instance()).hashCode() * 0x9e3779b1);
    }

    private void probe(final Endpoint l) {
        final long requestedMs = fleet.nowMs();
        reach.probe(l.address(), timing.probeWaitMs(), p -> {
            probing.remove(l.instance());
            if (p == null) {
                if (fails.merge(l.instance(), 1, Integer::sum) >= timing.failsMax()) {
                    word(l, HealthStatus.DOWN, 0, requestedMs);
                }
                return;
            }
            fails.remove(l.instance());
            if (!p.instance().equals(l.instance()) || !p.service().equals(l.service())) {
                word(l, HealthStatus.FOREIGN, 0, requestedMs);
            } else {
                word(
                        l,
                        p.leaving() ? HealthStatus.LEAVING : HealthStatus.READY,
                        requestedMs - p.readyForMs(),
                        requestedMs);
            }
        });
    }

    /** An unchanged word isn't said anew each time. */
    private void word(final Endpoint l, final HealthStatus status, final long readySinceMs, final long requestedMs) {
        final HealthObservation had = endpointRegistry.observation(l.instance(), self.name());
        final boolean same =
                had != null && had.status() == status && Math.abs(had.readySinceMs() - readySinceMs) < WARM_UP_APART_MS;
        if (same && requestedMs - had.timestampMs() < timing.sayMs()) {
            return;
        }
        final HealthObservation word =
                new HealthObservation(l.instance(), self.name(), status, readySinceMs, requestedMs);
        endpointRegistry.merge(List.of(), List.of(word));
        if (!same) {
            changed.add(word);
        }
    }

    private void tell(final List<NodeInfo> others) {
        if (!changed.isEmpty()) {
            final DiscoveryMessage.Push update = new DiscoveryMessage.Push(List.of(), List.copyOf(changed), 0);
            everyone.get().forEach(m -> post.send(m.address(), update));
        }
        final List<HealthObservation> words = endpointRegistry.observationsAfter(pushed).stream()
                .filter(r -> r.by().equals(self.name()) && !changed.contains(r))
                .toList();
        pushed = endpointRegistry.offset();
        changed.clear();
        if (!words.isEmpty()) {
            final DiscoveryMessage.Push push = new DiscoveryMessage.Push(List.of(), words, 0);
            others.forEach(m -> post.send(m.address(), push));
        }
        if (tick % 10 == 0) {
            fails.keySet()
                    .retainAll(endpointRegistry.endpoints().stream()
                            .map(Endpoint::instance)
                            .toList());
        }
    }
}
