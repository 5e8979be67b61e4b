package spokestall.listing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import spokestall.time.FleetClock;
import spokestall.view.Member;
import spokestall.wire.Post;

/**
 * A core's part in knowing the upstreams: reads the platform's list when no other did of late, probes its share, and tells
 * what changed to every node, and that it read or probed to the other cores.
 */
public final class Prober {
    /** How the prober reaches the platform and the upstreams. */
    public interface Reach {
        /** The platform's list, or null when it could not be had. Example: {@code reach.list(ms, list -> ...);} */
        void list(long waitMs, Consumer<List<Listed>> done);

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
    private final Member self;
    private final Listing listing;
    private final Reach reach;
    private final Post post;
    private final FleetClock fleet;
    private final Pace pace;
    private final Supplier<List<Member>> cores;
    private final Supplier<Collection<Member>> everyone;
    private final List<Report> changed = new ArrayList<>();
    private final Map<String, Integer> fails = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private boolean listingNow;
    private long triedMs = Long.MIN_VALUE / 2;
    private long pushed;
    private int beat;

    /** Example: see {@code Node}. */
    public Prober(
            final Member self,
            final Listing listing,
            final Reach reach,
            final Post post,
            final FleetClock fleet,
            final Pace pace,
            final Supplier<List<Member>> cores,
            final Supplier<Collection<Member>> everyone) {
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
        final List<Member> others = cores.get();
        if (mayRead(others)) {
            read();
        }
        if (pace.probes()) {
            for (final Listed l : listing.listed()) {
                if (l.present() && mine(l, others) && probing.add(l.instance())) {
                    probe(l);
                }
            }
            tell(others);
        }
    }

    /** One core reads at a time: each later one in the order of names waits longer to hear that another did. */
    private boolean mayRead(final List<Member> others) {
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

    private void taken(final List<Listed> list, final long askedMs) {
        final Map<String, Listed> now = new HashMap<>();
        list.forEach(l -> now.put(
                l.instance(), l.at(true, askedMs, l.coldUntilMs() < 0 ? 0 : askedMs + l.coldUntilMs(), askedMs)));
        final List<Listed> news = new ArrayList<>();
        for (final Listed had : listing.listed()) {
            final Listed l = now.remove(had.instance());
            if (l == null && had.present()) {
                news.add(had.at(false, askedMs, had.coldUntilMs(), had.firstMs()));
            } else if (l != null && !same(had, l)) {
                news.add(l);
            }
        }
        news.addAll(now.values());
        listing.merge(news, List.of());
        listing.read(askedMs);
        final ListingNote.Push push = new ListingNote.Push(news, List.of(), askedMs);
        for (final Member other : news.isEmpty() ? cores.get() : everyone.get()) {
            post.send(other.address(), push);
        }
    }

    private static boolean same(final Listed had, final Listed now) {
        return had.present()
                && had.leaving() == now.leaving()
                && had.address().equals(now.address())
                && had.service().equals(now.service())
                && (Math.abs(had.coldUntilMs() - now.coldUntilMs()) < COLD_APART_MS
                        || Math.max(had.coldUntilMs(), now.coldUntilMs()) <= now.stampMs() + COLD_APART_MS);
    }

    /** Each upstream is probed by a few cores, near ones first, elected alike by all. */
    private boolean mine(final Listed l, final List<Member> others) {
        int before = 0;
        final long myRank = rank(self, l);
        for (final Member other : others) {
            before += rank(other, l) < myRank ? 1 : 0;
        }
        return before < pace.sharers();
    }

    private static long rank(final Member core, final Listed l) {
        final int near = core.region().equals(l.region()) ? 0 : 1;
        return ((long) near << 32) + Integer.toUnsignedLong((core.name() + l.instance()).hashCode() * 0x9e3779b1);
    }

    private void probe(final Listed l) {
        final long askedMs = fleet.nowMs();
        reach.probe(l.address(), pace.probeWaitMs(), p -> {
            probing.remove(l.instance());
            if (p == null) {
                if (fails.merge(l.instance(), 1, Integer::sum) >= pace.failsMax()) {
                    word(l, Status.DOWN, 0, askedMs);
                }
                return;
            }
            fails.remove(l.instance());
            if (!p.instance().equals(l.instance()) || !p.service().equals(l.service())) {
                word(l, Status.FOREIGN, 0, askedMs);
            } else {
                word(l, p.leaving() ? Status.LEAVING : Status.READY, askedMs - p.readyForMs(), askedMs);
            }
        });
    }

    /** An unchanged word isn't said anew each time. */
    private void word(final Listed l, final Status status, final long readySinceMs, final long askedMs) {
        final Report had = listing.said(l.instance(), self.name());
        final boolean same =
                had != null && had.status() == status && Math.abs(had.readySinceMs() - readySinceMs) < COLD_APART_MS;
        if (same && askedMs - had.stampMs() < pace.sayMs()) {
            return;
        }
        final Report word = new Report(l.instance(), self.name(), status, readySinceMs, askedMs);
        listing.merge(List.of(), List.of(word));
        if (!same) {
            changed.add(word);
        }
    }

    private void tell(final List<Member> others) {
        if (!changed.isEmpty()) {
            final ListingNote.Push news = new ListingNote.Push(List.of(), List.copyOf(changed), 0);
            everyone.get().forEach(m -> post.send(m.address(), news));
        }
        final List<Report> words = listing.reportsAfter(pushed).stream()
                .filter(r -> r.by().equals(self.name()) && !changed.contains(r))
                .toList();
        pushed = listing.place();
        changed.clear();
        if (!words.isEmpty()) {
            final ListingNote.Push push = new ListingNote.Push(List.of(), words, 0);
            others.forEach(m -> post.send(m.address(), push));
        }
        if (beat % 10 == 0) {
            fails.keySet()
                    .retainAll(listing.listed().stream().map(Listed::instance).toList());
        }
    }
}
