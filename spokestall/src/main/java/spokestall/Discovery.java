package spokestall;

import java.util.List;
import spokestall.ballot.Voter;
import spokestall.listing.Listing;
import spokestall.listing.ListingNote;
import spokestall.listing.Prober;
import spokestall.view.View;

/** What this node knows of upstreams; a core reads the list and probes too, and stores the list on its disk. */
final class Discovery {
    static final String KEPT = "~listed";
    private static final int LISTED_MAX = 8192;
    /** For how many leave bounds an entry is kept that is absent. */
    private static final int ABSENT_BOUNDS = 30;

    private final NodeContext context;
    private Prober prober;
    private Kept kept;
    final Listing listing;

    Discovery(final NodeContext context) {
        this.context = context;
        this.listing = new Listing(
                context.life,
                LISTED_MAX,
                context.settings().ms("leaveBoundMs"),
                context.settings().ms("probes") == 1);
    }

    /** On a core: reads what its disk has from before, and is ready to probe. */
    void open(final Neighbours neighbours, final View view, final Voter voter, final Prober.Reach reach) {
        prober = new Prober(
                context.self(),
                listing,
                reach,
                context.post,
                context.fleet,
                context.paces().prober(),
                neighbours::otherCores,
                view::members);
        kept = new Kept(voter, KEPT, listing::changes, () -> new ListingNote.Push(listing.listed(), List.of(), 0));
        final ListingNote.Push before = kept.read(ListingNote.Push.class);
        if (before != null) {
            listing.merge(before.listed(), List.of());
        }
    }

    void tick() {
        prober.tick();
    }

    void tickKept() {
        kept.tick();
    }

    /** Lets go of what has been absent for long. */
    void prune() {
        listing.prune(context.fleet.nowMs() - context.settings().part("leaveBoundMs", ABSENT_BOUNDS));
    }

    void hear(final ListingNote.Push push) {
        listing.merge(push.listed(), push.reports());
        listing.read(Math.min(push.readMs(), context.fleet.nowMs()));
    }
}
