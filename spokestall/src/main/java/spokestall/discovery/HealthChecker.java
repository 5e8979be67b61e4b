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
        /** The platform's list, or null when it could not be had. Example: {@code reach.list(ms, list -> ...);} */
        void list(long waitMs, Consumer<List<Endpoint>> done);

        /** An upstream's own word, or null. Example: {@code reach.probe("127.0.0.1:9001", 500, p -> ...);} */
        void probe(String address, long waitMs, Consumer<Probe> done);
    }

    /** What an upstream says of itself; its warm-up began so long ago. */
    public record Probe(String instance, String service, boolean leaving, long readyForMs) {}

    /** Spans, from the settings. The fleet reads the list every {@code listMs}; an unchanged word is said anew every
     * {@code sayMs}. */
    public record Pace(
            long probeWaitMs, long listWaitMs, int failsMax, int sharers, long listMs, long sayMs, boolean probes) {}

    /** How much later each next core in turn reads, as a part of the span. */
    private static final double LATER = 0.7;

    private static final long COLD_APART_MS = 1000;
    private final NodeInfo self;
    private final EndpointRegistry listing;
    private final Reach reach;
    private final MessageSender post;
    private final FleetClock fleet;
    private final Pace pace;
    private final Supplier<List<NodeInfo>> cores;
    private final Supplier<Collection<NodeInfo>> everyone;
    private final List<HealthObservation> changed = new ArrayList<>();
    private final Map<String, Integer> fails = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private boolean listingNow;
    private long triedMs = Long.MIN_VALUE / 2;
    private long pushed;
    private int beat;

    /** Example: see {@code Node}. */
    public HealthChecker(
            final NodeInfo self,
            final EndpointRegistry listing,
            final Reach reach,
            final MessageSender post,
            final FleetClock fleet,
            final Pace pace,
            final Supplier<List<NodeInfo>> cores,
            final Supplier<Collection<NodeInfo>> everyone) {
        this.self = self;
        this.listing = listing;
        this.reach = reach;
        this.post = post;
        this.fleet = fleet;
        this.pace = pace;
        this.cores = cores;
        this.everyone = everyone;
    }

    /** One beat: list, probe, tell. Example: {@code prober.tick();} */
    public void tick() {
        if (!fleet.settled()) {
            return;
        }
        beat++;
        final List<NodeInfo> others = cores.get();
        if (mayRead(others)) {
            read();
        }
        if (pace.probes()) {
            for (final Endpoint l : listing.listed()) {
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
        if (listing.readMs() == 0) {
            // What the others know comes first, so that what they listed long ago isn't taken for new.
            listing.read(nowMs - pace.listMs() + pace.listMs() / 4);
        }
        final long rank =
                others.stream().filter(m -> m.name().compareTo(self.name()) < 0).count();
        final long slackMs = pace.listMs() / 32;
        return !listingNow
                && nowMs - triedMs >= pace.listMs() - slackMs
                && nowMs - listing.readMs() >= (long) (pace.listMs() * (1 + LATER * rank)) - slackMs;
    }

    private void read() {
        listingNow = true;
        final long askedMs = fleet.nowMs();
        triedMs = askedMs;
        reach.list(pace.listWaitMs(), list -> {
            listingNow = false;
            if (list != null) {
                taken(list, askedMs);
            }
        });
    }

    private void taken(final List<Endpoint> list, final long askedMs) {
        final Map<String, Endpoint> now = new HashMap<>();
        list.forEach(l -> now.put(
                l.instance(), l.at(true, askedMs, l.coldUntilMs() < 0 ? 0 : askedMs + l.coldUntilMs(), askedMs)));
        final List<Endpoint> news = new ArrayList<>();
        for (final Endpoint had : listing.listed()) {
            final Endpoint l = now.remove(had.instance());
            if (l == null && had.present()) {
                news.add(had.at(false, askedMs, had.coldUntilMs(), had.firstMs()));
            } else if (l != null && !same(had, l)) {
                news.add(l);
            }
        }
        news.addAll(now.values());
        listing.merge(news, List.of());
        listing.read(askedMs);
        final DiscoveryMessage.Push push = new DiscoveryMessage.Push(news, List.of(), askedMs);
        for (final NodeInfo other : news.isEmpty() ? cores.get() : everyone.get()) {
            post.send(other.address(), push);
        }
    }

    private static boolean same(final Endpoint had, final Endpoint now) {
        return had.present()
                && had.leaving() == now.leaving()
                && had.address().equals(now.address())
                && had.service().equals(now.service())
                && (Math.abs(had.coldUntilMs() - now.coldUntilMs()) < COLD_APART_MS
                        || Math.max(had.coldUntilMs(), now.coldUntilMs()) <= now.stampMs() + COLD_APART_MS);
    }

    /** Each upstream is probed by a few cores, near ones first, elected alike by all. */
    private boolean mine(final Endpoint l, final List<NodeInfo> others) {
        int before = 0;
        final long myRank = rank(self, l);
        for (final NodeInfo other : others) {
            before += rank(other, l) < myRank ? 1 : 0;
        }
        return before < pace.sharers();
    }

    private static long rank(final NodeInfo core, final Endpoint l) {
        final int near = core.region().equals(l.region()) ? 0 : 1;
        return ((long) near << 32) + Integer.toUnsignedLong((core.name() + l.instance()).hashCode() * 0x9e3779b1);
    }

    private void probe(final Endpoint l) {
        final long askedMs = fleet.nowMs();
        reach.probe(l.address(), pace.probeWaitMs(), p -> {
            probing.remove(l.instance());
            if (p == null) {
                if (fails.merge(l.instance(), 1, Integer::sum) >= pace.failsMax()) {
                    word(l, HealthStatus.DOWN, 0, askedMs);
                }
                return;
            }
            fails.remove(l.instance());
            if (!p.instance().equals(l.instance()) || !p.service().equals(l.service())) {
                word(l, HealthStatus.FOREIGN, 0, askedMs);
            } else {
                word(l, p.leaving() ? HealthStatus.LEAVING : HealthStatus.READY, askedMs - p.readyForMs(), askedMs);
            }
        });
    }

    /** An unchanged word isn't said anew each time. */
    private void word(final Endpoint l, final HealthStatus status, final long readySinceMs, final long askedMs) {
        final HealthObservation had = listing.said(l.instance(), self.name());
        final boolean same =
                had != null && had.status() == status && Math.abs(had.readySinceMs() - readySinceMs) < COLD_APART_MS;
        if (same && askedMs - had.stampMs() < pace.sayMs()) {
            return;
        }
        final HealthObservation word = new HealthObservation(l.instance(), self.name(), status, readySinceMs, askedMs);
        listing.merge(List.of(), List.of(word));
        if (!same) {
            changed.add(word);
        }
    }

    private void tell(final List<NodeInfo> others) {
        if (!changed.isEmpty()) {
            final DiscoveryMessage.Push news = new DiscoveryMessage.Push(List.of(), List.copyOf(changed), 0);
            everyone.get().forEach(m -> post.send(m.address(), news));
        }
        final List<HealthObservation> words = listing.reportsAfter(pushed).stream()
                .filter(r -> r.by().equals(self.name()) && !changed.contains(r))
                .toList();
        pushed = listing.place();
        changed.clear();
        if (!words.isEmpty()) {
            final DiscoveryMessage.Push push = new DiscoveryMessage.Push(List.of(), words, 0);
            others.forEach(m -> post.send(m.address(), push));
        }
        if (beat % 10 == 0) {
            fails.keySet()
                    .retainAll(listing.listed().stream().map(Endpoint::instance).toList());
        }
    }
}
