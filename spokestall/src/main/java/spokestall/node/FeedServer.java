package spokestall.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.configuration.feed.FeedMessage;
import spokestall.consensus.Acceptor;
import spokestall.consensus.VoterSet;
import spokestall.gossip.NodeInfo;
import spokestall.message.Fingerprints;
import spokestall.message.MessageCodec;

/** What a core tells those who follow the feed, and what it learns of edges by their asking. */
final class FeedServer {
    /** An edge as it last asked. */
    record Present(NodeInfo member, boolean fresh, int open, long heardMs) {}

    /** A larger change is fetched, not told to all. */
    private static final int NEWS_BYTES_MAX = 16 << 10;
    /** The version of notes since which what an asker has already can be left out. */
    private static final int TERSE = 3;

    private final Node node;
    private final Map<String, Present> edges = new TreeMap<>();
    /** The name that was last heard from an address. */
    private final Map<String, String> names = new HashMap<>();

    FeedServer(final Node node) {
        this.node = node;
    }

    Map<String, Present> edges() {
        return edges;
    }

    /** The life of an edge as it last asked, or null. */
    Long presentLife(final String edge) {
        final Present present = edges.get(edge);
        return present == null ? null : present.member().life();
    }

    /** Lets go of edges not heard for so long. */
    void tidy(final long spanMs) {
        edges.values().removeIf(p -> node.context.clock.nowMs() - p.heardMs() > spanMs);
        names.values().retainAll(edges.keySet());
    }

    /** Tells all that are known that a version was accepted, each once. */
    void tell(final long version) {
        final Set<String> all = new TreeSet<>();
        node.view.members().forEach(m -> all.add(m.address()));
        edges.values().forEach(p -> all.add(p.member().address()));
        final Map<Long, ConfigurationChange> after = node.book.after(version - 1);
        final ConfigurationChange change = after == null ? null : after.get(version);
        final FeedMessage.FeedNews news = new FeedMessage.FeedNews(
                version, change == null || change.json().length > NEWS_BYTES_MAX ? null : MessageCodec.bytes(change));
        all.forEach(to -> node.context.post.send(to, news));
    }

    /** Answers one who follows: what is newest here, and the news from its places on. */
    void answer(final FeedMessage.FeedAsk ask) {
        if (ask.self().serves()) {
            heard(new Present(ask.self(), ask.fresh(), ask.open(), node.context.clock.nowMs()));
        }
        final boolean voting = node.storage.voter.state() == Acceptor.State.VOTING;
        final long applied = node.book.policy().version();
        final List<FeedMessage.Numbered> changes = new ArrayList<>();
        ConfigurationSnapshot snapshot = null;
        final boolean ready = ready();
        if (ask.news() && ready && ask.place() < applied) {
            final Map<Long, ConfigurationChange> after = node.book.after(ask.place());
            if (after == null) {
                snapshot = node.book.snapshot();
            } else {
                after.forEach((version, change) -> changes.add(new FeedMessage.Numbered(version, change)));
            }
        }
        final long from = ask.listingLife() == node.discovery.listing.life() ? ask.listingPlace() : 0;
        final boolean news = ask.news() && ready;
        final VoterSet table = node.storage.voter.voters();
        final boolean terse = node.context.settings().ms("noteVersion") >= TERSE;
        final boolean had = terse && table != null && table.same(ask.generation(), ask.epoch());
        final Collection<NodeInfo> fresh = freshEdges();
        final long mark = terse ? mark(fresh) : 0;
        final boolean brief = terse && (ask.edgesMark() == mark || !ask.news());
        node.context.post.send(
                ask.from(),
                new FeedMessage.FeedBack(
                        node.context.name,
                        node.storage.voter.diskId(),
                        ask.askId(),
                        had ? null : table,
                        voting,
                        ready ? applied : 0,
                        newest(),
                        changes,
                        snapshot,
                        brief ? List.of() : List.copyOf(fresh),
                        news ? node.discovery.listing.life() : 0,
                        node.discovery.listing.place(),
                        news ? node.discovery.listing.listedAfter(from) : List.of(),
                        news ? node.discovery.listing.reportsAfter(from) : List.of(),
                        table == null ? 0 : table.generation(),
                        table == null ? 0 : table.epoch(),
                        brief,
                        mark));
    }

    /** Answers one who wants a proof alone; one whose table is older gets this one's. */
    void answer(final FeedMessage.ProofAsk ask) {
        final VoterSet table = node.storage.voter.voters();
        final long newest = newest();
        final boolean voting = node.storage.voter.state() == Acceptor.State.VOTING;
        final long applied = ready() ? node.book.policy().version() : 0;
        final boolean stranger = ask.serves() && !present(ask);
        if (table != null && table.newerThan(new VoterSet(ask.generation(), ask.epoch(), List.of()))) {
            node.context.post.send(
                    ask.from(),
                    new FeedMessage.FeedBack(
                            node.context.name,
                            node.storage.voter.diskId(),
                            ask.askId(),
                            table,
                            voting,
                            applied,
                            newest,
                            List.of(),
                            null,
                            List.of(),
                            0,
                            0,
                            List.of(),
                            List.of(),
                            table.generation(),
                            table.epoch(),
                            true,
                            0));
            return;
        }
        node.context.post.send(
                ask.from(),
                new FeedMessage.ProofBack(
                        node.context.name,
                        ask.askId(),
                        table == null ? 0 : table.generation(),
                        table == null ? 0 : table.epoch(),
                        Fingerprints.of(node.storage.voter.diskId()),
                        voting,
                        stranger,
                        newest,
                        newest - applied));
    }

    private boolean ready() {
        return node.storage.voter.state() == Acceptor.State.VOTING
                && node.storage.voter.voters().firstNumber()
                        <= node.book.policy().version();
    }

    private long newest() {
        final long applied = node.book.policy().version();
        return node.storage.voter.state() == Acceptor.State.VOTING
                ? Math.max(applied, ConfigurationKeys.newest(node.storage.voter.registers()))
                : applied;
    }

    /** Whether the asker is known, as the same life; then it was heard now. */
    private boolean present(final FeedMessage.ProofAsk ask) {
        final Present had = edges.get(names.getOrDefault(ask.from(), ""));
        NodeInfo found = had != null && is(had.member(), ask) ? had.member() : null;
        if (found == null) {
            for (final NodeInfo m : node.view.members()) {
                found = is(m, ask) ? m : found;
            }
        }
        if (found == null) {
            return false;
        }
        heard(new Present(
                found.at(node.context.fleet.nowMs(), ask.leaving()),
                ask.fresh(),
                ask.open(),
                node.context.clock.nowMs()));
        return true;
    }

    private static boolean is(final NodeInfo member, final FeedMessage.ProofAsk asker) {
        return member.life() == asker.life() && member.address().equals(asker.from());
    }

    private void heard(final Present edge) {
        edges.put(edge.member().name(), edge);
        names.put(edge.member().address(), edge.member().name());
    }

    /** Edges heard a moment ago that may serve. */
    Collection<NodeInfo> freshEdges() {
        final List<NodeInfo> found = new ArrayList<>();
        for (final Present p : edges.values()) {
            if (p.fresh()
                    && !p.member().leaving()
                    && node.context.clock.nowMs() - p.heardMs()
                            <= node.context.settings().heardMs()) {
                found.add(p.member());
            }
        }
        return found;
    }

    /** The mark of what {@code where} needs of edges, in their order. */
    private static long mark(final Collection<NodeInfo> edges) {
        final StringBuilder all = new StringBuilder();
        for (final NodeInfo m : edges) {
            all.append(m.name())
                    .append(' ')
                    .append(m.httpAddress())
                    .append(' ')
                    .append(m.address())
                    .append(' ')
                    .append(m.district())
                    .append(' ')
                    .append(m.life())
                    .append(m.leaving())
                    .append('\n');
        }
        return Fingerprints.of(all.toString());
    }
}
