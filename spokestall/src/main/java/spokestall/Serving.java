package spokestall;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import spokestall.ballot.Proposer;
import spokestall.duty.UsageCounter;
import spokestall.duty.UsageNote;
import spokestall.edge.Edge;
import spokestall.edge.Elector;
import spokestall.edge.Parts;
import spokestall.edge.Upstreams;
import spokestall.feed.Follower;
import spokestall.hand.Shelf;
import spokestall.listing.Listed;
import spokestall.listing.Listing;
import spokestall.policy.Book;
import spokestall.policy.ServiceRule;
import spokestall.view.Member;

/** The part of a node that answers clients: their requests, the choice of upstreams, and the count of what was begun. */
final class Serving implements Departure.Requests {
    private final NodeContext context;
    private final Neighbours neighbours;
    private final Book book;
    private final Listing listing;
    private final Elector elector;
    private Set<String> heldBefore = Set.of();
    final Edge edge;
    final UsageCounter counter;

    /** What it takes of the other parts of its node. */
    record Sources(
            Member self,
            Book book,
            Listing listing,
            Follower follower,
            Proposer proposer,
            Shelf shelf,
            Upstreams upstreams) {}

    Serving(final NodeContext context, final Neighbours neighbours, final Sources sources) {
        this.context = context;
        this.neighbours = neighbours;
        this.book = sources.book();
        this.listing = sources.listing();
        this.elector = new Elector(
                context.settings().region(),
                context.settings().text("district"),
                service -> listing.ready(service, context.fleet.nowMs()),
                context.clock,
                context.fleet,
                context.random,
                context.paces().elector(neighbours::sharers));
        this.counter = new UsageCounter(
                context.name,
                context.address,
                context.life,
                context.paces().counter(),
                context.clock,
                context.fleet,
                context.post,
                neighbours::coreAddresses);
        this.edge = edge(sources);
    }

    private Edge edge(final Sources sources) {
        return new Edge(
                new Parts(
                        sources.self(),
                        book,
                        sources.follower(),
                        sources.proposer(),
                        elector,
                        sources.upstreams(),
                        counter,
                        sources.shelf(),
                        context.post,
                        context.clock,
                        context.fleet,
                        context.random,
                        neighbours::sharers,
                        neighbours::homeCores),
                context.paces().edge());
    }

    /** Goes by newer settings. */
    void renew() {
        elector.pace(context.paces().elector(neighbours::sharers));
        edge.pace(context.paces().edge());
    }

    void tickCounts() {
        counter.tick();
    }

    /** Forgets what was learnt of upstreams that are listed no more. */
    void retain() {
        elector.retain(listing.listed().stream().map(Listed::instance).collect(Collectors.toUnmodifiableSet()));
    }

    void hear(final UsageNote.CountsHad message) {
        counter.hear(message, neighbours.seatAddress(message.name()));
    }

    /** Upstreams of a district that is given back may have turned cold while nothing was sent there. */
    void policyMoved() {
        final Set<String> now = book.policy().holds();
        for (final String district : heldBefore) {
            if (!now.contains(district)) {
                chill(district);
            }
        }
        heldBefore = Set.copyOf(now);
    }

    private void chill(final String district) {
        for (final Listed listed : listing.listed()) {
            final ServiceRule rule = book.policy().service(listed.service());
            if (listed.district().equals(district) && rule != null) {
                elector.chill(
                        List.of(listed.instance()),
                        rule.warmupMs() + context.settings().part("leaveBoundMs", 0.5));
            }
        }
    }

    int openRequests() {
        return edge.open();
    }

    @Override
    public void deny() {
        edge.leave();
    }

    @Override
    public void giveUp() {
        edge.giveUp();
    }

    @Override
    public boolean open() {
        return openRequests() > 0;
    }

    /** Nothing more is counted. */
    void stop() {
        counter.stop();
    }
}
