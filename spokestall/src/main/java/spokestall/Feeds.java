package spokestall;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.ballot.Voter;
import spokestall.feed.FeedNote;
import spokestall.feed.Versions;
import spokestall.policy.Change;
import spokestall.policy.Snapshot;
import spokestall.view.Member;

/** What a core tells those who follow the feed, and what it learns of edges by their asking. */
final class Feeds {
    /** An edge as it last asked. */
    record Present(Member member, boolean fresh, int open, long heardMs) {
    }

    private final Node node;
    private final Map<String, Present> edges = new TreeMap<>();

    Feeds(final Node node) {
        this.node = node;
    }

    Map<String, Present> edges() {
        return edges;
    }

    /** Lets go of edges not heard for so long. */
    void tidy(final long spanMs) {
        edges.values().removeIf(p -> node.clock.nowMs() - p.heardMs() > spanMs);
    }

    /** Tells all that are known that a version was accepted. */
    void tell(final long version) {
        for (final Member m : node.view.members()) {
            node.post.send(m.address(), new FeedNote.FeedNews(version));
        }
        for (final Present p : edges.values()) {
            node.post.send(p.member().address(), new FeedNote.FeedNews(version));
        }
    }

    /** Answers one who follows: what is newest here, and the news from its places on. */
    void answer(final FeedNote.FeedAsk ask) {
        if (ask.self().serves()) {
            edges.put(ask.self().name(), new Present(ask.self(), ask.fresh(), ask.open(), node.clock.nowMs()));
        }
        final boolean voting = node.voter.state() == Voter.State.VOTING;
        final long applied = node.book.policy().version();
        final long newest = voting ? Math.max(applied, Versions.newest(node.voter.registers())) : applied;
        final List<FeedNote.Numbered> changes = new ArrayList<>();
        Snapshot snapshot = null;
        final boolean ready = voting && node.voter.voters().firstNumber() <= applied;
        if (ask.news() && ready && ask.place() < applied) {
            final Map<Long, Change> after = node.book.after(ask.place());
            if (after == null) {
                snapshot = node.book.snapshot();
            } else {
                after.forEach((version, change) -> changes.add(new FeedNote.Numbered(version, change)));
            }
        }
        final long from = ask.listingLife() == node.listing.life() ? ask.listingPlace() : 0;
        final boolean news = ask.news() && ready;
        node.post.send(ask.from(), new FeedNote.FeedBack(node.name, node.voter.diskId(), ask.askId(), node.voter.voters(), voting,
                ready ? applied : 0, newest, changes, snapshot, List.copyOf(freshEdges()),
                news ? node.listing.life() : 0, node.listing.place(), news ? node.listing.listedAfter(from) : List.of(),
                news ? node.listing.reportsAfter(from) : List.of()));
    }

    /** Edges heard a moment ago that may serve. */
    Collection<Member> freshEdges() {
        final List<Member> found = new ArrayList<>();
        for (final Present p : edges.values()) {
            if (p.fresh() && !p.member().leaving()
                    && node.clock.nowMs() - p.heardMs() <= node.settings.part("leaveBoundMs", 0.3)) {
                found.add(p.member());
            }
        }
        return found;
    }
}
