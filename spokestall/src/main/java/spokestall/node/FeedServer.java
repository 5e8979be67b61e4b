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
    private static final int UPDATE_BYTES_MAX = 16 << 10;
    /** The version of messages since which what an asker has already can be left out. */
    private static final int TERSE = 3;

    private final NodeComponents node;
    private final Map<String, Present> edges = new TreeMap<>();
    /** The name that was last heard from an address. */
    private final Map<String, String> names = new HashMap<>();

    FeedServer(final NodeComponents node) {
        this.node = node;
    }

    Map<String, Present> edges() {
        return edges;
    }

    /** The life of an edge as it last asked, or null. */
    Long presentIncarnation(final String edge) {
        final Present present = edges.get(edge);
        return present == null ? null : present.member().incarnation();
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
        final Map<Long, ConfigurationChange> after = node.configurationStore.after(version - 1);
        final ConfigurationChange change = after == null ? null : after.get(version);
        final FeedMessage.FeedUpdate update = new FeedMessage.FeedUpdate(
                version,
                change == null || change.json().length > UPDATE_BYTES_MAX ? null : MessageCodec.encodeRecord(change));
        all.forEach(to -> node.context.post.send(to, update));
    }

    /** Answers one who follows: what is newest here, and the news from its places on. */
    void answer(final FeedMessage.FeedRequest ask) {
        if (ask.self().serves()) {
            heard(new Present(ask.self(), ask.fresh(), ask.open(), node.context.clock.nowMs()));
        }
        final boolean voting = node.storage.acceptor.state() == Acceptor.State.VOTING;
        final long applied = node.configurationStore.configuration().version();
        final List<FeedMessage.Numbered> changes = new ArrayList<>();
        ConfigurationSnapshot snapshot = null;
        final boolean ready = ready();
        if (ask.update() && ready && ask.place() < applied) {
            final Map<Long, ConfigurationChange> after = node.configurationStore.after(ask.place());
            if (after == null) {
                snapshot = node.configurationStore.snapshot();
            } else {
                after.forEach((version, change) -> changes.add(new FeedMessage.Numbered(version, change)));
            }
        }
        final long from =
                ask.registryIncarnation() == node.discovery.endpointRegistry.incarnation() ? ask.registryPlace() : 0;
        final boolean update = ask.update() && ready;
        final VoterSet table = node.storage.acceptor.voterSet();
        final boolean terse = node.context.settings().integer("noteVersion") >= TERSE;
        final boolean had = terse && table != null && table.hasEpoch(ask.generation(), ask.epoch());
        final Collection<NodeInfo> fresh = freshEdges();
        final long mark = terse ? mark(fresh) : 0;
        final boolean brief = terse && (ask.edgesMark() == mark || !ask.update());
        node.context.post.send(
                ask.from(),
                new FeedMessage.FeedResponse(
                        node.context.name,
                        node.storage.acceptor.diskId(),
                        ask.requestId(),
                        had ? null : table,
                        voting,
                        ready ? applied : 0,
                        newest(),
                        changes,
                        snapshot,
                        brief ? List.of() : List.copyOf(fresh),
                        update ? node.discovery.endpointRegistry.incarnation() : 0,
                        node.discovery.endpointRegistry.place(),
                        update ? node.discovery.endpointRegistry.listedAfter(from) : List.of(),
                        update ? node.discovery.endpointRegistry.reportsAfter(from) : List.of(),
                        table == null ? 0 : table.generation(),
                        table == null ? 0 : table.epoch(),
                        brief,
                        mark));
    }

    /** Answers one who wants a proof alone; one whose table is older gets this one's. */
    void answer(final FeedMessage.FreshnessRequest ask) {
        final VoterSet table = node.storage.acceptor.voterSet();
        final long newest = newest();
        final boolean voting = node.storage.acceptor.state() == Acceptor.State.VOTING;
        final long applied = ready() ? node.configurationStore.configuration().version() : 0;
        final boolean stranger = ask.serves() && !present(ask);
        if (table != null && table.newerThan(new VoterSet(ask.generation(), ask.epoch(), List.of()))) {
            node.context.post.send(
                    ask.from(),
                    new FeedMessage.FeedResponse(
                            node.context.name,
                            node.storage.acceptor.diskId(),
                            ask.requestId(),
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
                new FeedMessage.FreshnessResponse(
                        node.context.name,
                        ask.requestId(),
                        table == null ? 0 : table.generation(),
                        table == null ? 0 : table.epoch(),
                        Fingerprints.of(node.storage.acceptor.diskId()),
                        voting,
                        stranger,
                        newest,
                        newest - applied));
    }

    private boolean ready() {
        return node.storage.acceptor.state() == Acceptor.State.VOTING
                && node.storage.acceptor.voterSet().firstNumber()
                        <= node.configurationStore.configuration().version();
    }

    private long newest() {
        final long applied = node.configurationStore.configuration().version();
        return node.storage.acceptor.state() == Acceptor.State.VOTING
                ? Math.max(applied, ConfigurationKeys.newest(node.storage.acceptor.registers()))
                : applied;
    }

    /** Whether the asker is known, as the same life; then it was heard now. */
    private boolean present(final FeedMessage.FreshnessRequest ask) {
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

    private static boolean is(final NodeInfo member, final FeedMessage.FreshnessRequest asker) {
        return member.incarnation() == asker.incarnation() && member.address().equals(asker.from());
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
                            <= node.context.settings().peerTimeoutMillis()) {
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
                    .append(m.zone())
                    .append(' ')
                    .append(m.incarnation())
                    .append(m.leaving())
                    .append('\n');
        }
        return Fingerprints.of(all.toString());
    }
}
