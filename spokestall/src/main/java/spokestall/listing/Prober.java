package spokestall.listing;

import java.util.ArrayList;
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

/** A core's part in knowing the upstreams: reads the platform's list, probes its share, and tells the other cores. */
public final class Prober {
    /** How the prober reaches the platform and the upstreams. */
    public interface Reach {
        /** The platform's list, or null when it could not be had. Example: {@code reach.list(ms, list -> ...);} */
        void list(long waitMs, Consumer<List<Listed>> done);

        /** An upstream's own word, or null. Example: {@code reach.probe("127.0.0.1:9001", 500, p -> ...);} */
        void probe(String address, long waitMs, Consumer<Probe> done);
    }

    /** What an upstream says of itself; its warm-up began so long ago. */
    public record Probe(String instance, String service, boolean leaving, long readyForMs) {
    }

    /** Spans, from the settings; failsMax 0: nothing is probed. */
    public record Pace(long probeWaitMs, long listWaitMs, int failsMax, int sharers) {
    }

    private final Member self;
    private final Listing listing;
    private final Reach reach;
    private final Post post;
    private final FleetClock fleet;
    private final Pace pace;
    private final Supplier<List<Member>> cores;
    private final Map<String, Integer> fails = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private boolean listingNow;
    private long pushed;
    private int beat;

    /** Example: see {@code Node}. */
    public Prober(final Member self, final Listing listing, final Reach reach, final Post post,
            final FleetClock fleet, final Pace pace, final Supplier<List<Member>> cores) {
        this.self = self;
        this.listing = listing;
        this.reach = reach;
        this.post = post;
        this.fleet = fleet;
        this.pace = pace;
        this.cores = cores;
    }

    /** One beat: list, probe, tell. Example: {@code prober.tick();} */
    public void tick() {
        if (!fleet.settled()) {
            return;
        }
        beat++;
        if (beat % 2 == 0) {
            list();
        }
        final List<Member> others = cores.get();
        for (final Listed l : listing.listed()) {
            if (pace.failsMax() > 0 && l.present() && mine(l, others) && probing.add(l.instance())) {
                probe(l);
            }
        }
        tell(others);
    }

    private void list() {
        if (listingNow) {
            return;
        }
        listingNow = true;
        final long askedMs = fleet.nowMs();
        reach.list(pace.listWaitMs(), list -> {
            listingNow = false;
            if (list != null) {
                taken(list, askedMs);
            }
        });
    }

    private void taken(final List<Listed> list, final long askedMs) {
        final Map<String, Listed> now = new HashMap<>();
        list.forEach(l -> now.put(l.instance(), l));
        final List<Listed> changed = new ArrayList<>();
        for (final Listed had : listing.listed()) {
            final Listed l = now.remove(had.instance());
            if (l == null ? had.present() : !same(had, l)) {
                changed.add((l == null ? had : l).seen(l != null, askedMs));
            }
        }
        for (final Listed l : now.values()) {
            changed.add(l.seen(true, askedMs));
        }
        listing.merge(changed, List.of());
    }

    private static boolean same(final Listed had, final Listed now) {
        return had.present() && had.leaving() == now.leaving() && had.address().equals(now.address())
                && had.service().equals(now.service());
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
        return ((long) near << 32) + (Integer.toUnsignedLong((core.name() + l.instance()).hashCode() * 0x9e3779b1));
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

    private void word(final Listed l, final Status status, final long readySinceMs, final long askedMs) {
        listing.merge(List.of(), List.of(new Report(l.instance(), self.name(), status, readySinceMs, askedMs)));
    }

    private void tell(final List<Member> others) {
        final boolean all = beat % 10 == 0;
        final List<Listed> entries = listing.listedAfter(all ? 0 : pushed);
        final List<Report> words = listing.reportsAfter(all ? 0 : pushed).stream()
                .filter(r -> all || r.by().equals(self.name())).toList();
        pushed = listing.place();
        if (!entries.isEmpty() || !words.isEmpty()) {
            for (final Member other : others) {
                post.send(other.address(), new ListingNote.Push(entries, words));
            }
        }
        if (all) {
            fails.keySet().retainAll(listing.listed().stream().map(Listed::instance).toList());
        }
    }
}
