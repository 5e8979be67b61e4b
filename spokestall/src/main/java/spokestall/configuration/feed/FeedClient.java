package spokestall.configuration.feed;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Proposer;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.discovery.EndpointRegistry;
import spokestall.gossip.NodeInfo;
import spokestall.message.Fingerprints;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Follows the numbered feed from a place on and keeps the freshness proof: the newest version that a majority of
 * voters confirmed, aged from when this node asked them.
 */
public final class FeedClient {
    /** Spans and counts, from the settings: a core that gave no news for so long is left for another, and every so many
     * asks another is asked once; whole asks are for programs that know no others. */
    public record Timing(long freshMs, int openRequestsMax, long updateWaitMs, int roveEvery, boolean whole) {}

    /** What a core last said. */
    public record Observation(boolean voting, long applied, long newest) {}

    /** How far a core is from here; the nearest is asked for news. */
    public interface Distance {
        /** Example: {@code distance.of("10.0.1.1:7100") == 0} is this node itself. */
        int of(String address);
    }

    private static final class Open {
        private final long requestedMs;
        private final Map<String, Long> newest = new HashMap<>();
        private final VoterSet table;

        Open(final long requestedMs, final VoterSet table) {
            this.requestedMs = requestedMs;
            this.table = table;
        }

        long need() {
            return newest.values().stream().mapToLong(Long::longValue).max().orElse(Long.MAX_VALUE);
        }
    }

    private record Waiting(long sinceMs, long untilMs, Consumer<Boolean> waiter) {}

    private static final int WAITING_MAX = 256;
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String address;
    private final Supplier<NodeInfo> self;
    private final ConfigurationStore configurationStore;
    private final EndpointRegistry endpointRegistry;
    private final Proposer proposer;
    private final MessageSender post;
    private final Clock clock;
    private Timing timing;
    private final Supplier<List<String>> strangers;
    private final Consumer<VoterSet> adopt;
    private final Runnable applied;
    private final IntSupplier open;
    private final TreeMap<Long, Open> requests = new TreeMap<>();
    private final Map<String, Observation> last = new TreeMap<>();
    private final Map<String, Long> lastMs = new HashMap<>();
    private long provedMs = Long.MIN_VALUE / 2;
    private final Distance distance;
    private long nextRequestId = 1;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private int turn = -1;
    private int asked;
    private long updateMs = Long.MIN_VALUE / 2;
    /** Who was asked for news and has not answered, and since when; null if nobody. */
    private String updateOf;

    private long updateOfMs;
    private List<NodeInfo> edges = List.of();
    private long edgesMark;
    private long edgesMs = Long.MIN_VALUE / 2;

    /** Example: see {@code Node}. */
    public FeedClient(
            final Supplier<NodeInfo> self,
            final ConfigurationStore configurationStore,
            final EndpointRegistry endpointRegistry,
            final Proposer proposer,
            final MessageSender post,
            final Clock clock,
            final Timing timing,
            final Supplier<List<String>> strangers,
            final Consumer<VoterSet> adopt,
            final Runnable applied,
            final IntSupplier open,
            final Distance distance) {
        this.self = self;
        this.address = self.get().address();
        this.configurationStore = configurationStore;
        this.endpointRegistry = endpointRegistry;
        this.proposer = proposer;
        this.post = post;
        this.clock = clock;
        this.timing = timing;
        this.strangers = strangers;
        this.adopt = adopt;
        this.applied = applied;
        this.open = open;
        this.distance = distance;
    }

    /** Keeps to other bounds from now on. */
    public void timing(final Timing newer) {
        timing = newer;
    }

    /** The age of the newest proof. */
    public long ageMs() {
        return clock.nowMs() - provedMs;
    }

    /** Whether the configuration here is proved fresh enough to act on. */
    public boolean fresh() {
        return ageMs() <= timing.freshMs();
    }

    /** When the present proof is too old. */
    public long freshUntilMs() {
        return provedMs + timing.freshMs();
    }

    /** What the cores last said, by name. */
    public Map<String, Observation> last() {
        return last;
    }

    /** How long ago a core last answered. */
    public long heardMs(final String core) {
        final Long at = lastMs.get(core);
        return at == null ? Long.MAX_VALUE : clock.nowMs() - at;
    }

    /** The edges that a core named so short a while ago. */
    public List<NodeInfo> edges(final long spanMs) {
        return clock.nowMs() - edgesMs <= spanMs ? edges : List.of();
    }

    /** One beat: asks every core what is newest, and one of them for news. */
    public void tick() {
        final VoterSet table = proposer.voterSet();
        final List<String> cores = new ArrayList<>();
        if (table == null) {
            cores.addAll(strangers.get());
        } else {
            for (final Voter voter : table.voters()) {
                cores.add(voter.address());
            }
        }
        if (cores.isEmpty()) {
            return;
        }
        final long requestId = nextRequestId++;
        requests.put(requestId, new Open(clock.nowMs(), table));
        while (requests.size() > timing.openRequestsMax()) {
            requests.pollFirstEntry();
        }
        final String updateFrom = updateFrom(cores);
        if (updateOf == null) {
            updateOf = updateFrom;
            updateOfMs = clock.nowMs();
        }
        for (final String core : cores) {
            if (core.equals(updateFrom) || timing.whole()) {
                post.send(core, ask(core, requestId, core.equals(updateFrom)));
            } else {
                final NodeInfo me = self.get();
                post.send(
                        core,
                        new FeedMessage.FreshnessRequest(
                                address,
                                me.incarnation(),
                                me.serves(),
                                fresh(),
                                me.leaving(),
                                open.getAsInt(),
                                requestId,
                                table == null ? 0 : table.generation(),
                                table == null ? 0 : table.epoch()));
            }
        }
    }

    /** Tells when the configuration here is proved newest by an ask made from now on, or that it wasn't in time: a node that stood
     * still meanwhile says nothing of what it was told before. */
    public void current(final long waitMs, final Consumer<Boolean> done) {
        if (waitMs <= 0 || waiting.size() >= WAITING_MAX) {
            done.accept(false);
            return;
        }
        final Waiting mine = new Waiting(clock.nowMs(), clock.nowMs() + waitMs, done);
        waiting.add(mine);
        clock.after(waitMs, () -> {
            if (waiting.remove(mine)) {
                mine.waiter.accept(false);
            }
        });
        askAgain(mine, waitMs);
        tick();
    }

    /** What was asked may be lost, and what was begun elsewhere must be over first. */
    private void askAgain(final Waiting mine, final long leftMs) {
        final long spanMs = Math.max(1, timing.freshMs() / 6);
        if (leftMs > spanMs) {
            clock.after(spanMs, () -> {
                if (waiting.contains(mine)) {
                    tick();
                    askAgain(mine, leftMs - spanMs);
                }
            });
        }
    }

    /** The nearest other core that gives news; now and then one more far away, so that no two keep to themselves. */
    private String updateFrom(final List<String> cores) {
        final List<String> others = new ArrayList<>(cores);
        others.remove(address);
        if (others.isEmpty()) {
            return cores.get(0);
        }
        others.sort(Comparator.comparingInt(distance::of));
        final long nowMs = clock.nowMs();
        if (nowMs - updateMs > timing.updateWaitMs()) {
            updateMs = nowMs;
            turn++;
        }
        if (++asked % (8 * timing.roveEvery()) == 0) {
            turn = 0;
        }
        return others.get(
                (turn + (asked % timing.roveEvery() == 0 ? 1 + asked / timing.roveEvery() : 0)) % others.size());
    }

    private FeedMessage.FeedRequest ask(final String core, final long requestId, final boolean update) {
        final VoterSet table = proposer.voterSet();
        return new FeedMessage.FeedRequest(
                address,
                self.get(),
                fresh(),
                open.getAsInt(),
                requestId,
                update,
                configurationStore.configuration().version(),
                endpointRegistry.incarnationHeard(core),
                endpointRegistry.placeHeard(core),
                table == null ? 0 : table.generation(),
                table == null ? 0 : table.epoch(),
                edgesMark);
    }

    private void update(final String core) {
        updateOf = core;
        updateOfMs = clock.nowMs();
        post.send(core, ask(core, 0, true));
    }

    /** Whether someone was asked a moment ago, so that what all have is not fetched from each. */
    private boolean awaited() {
        return updateOf != null && clock.nowMs() - updateOfMs < timing.updateWaitMs() / 3;
    }

    /** Asks the nearest that is known to be ahead, if any is. */
    private void updateOfAhead(final VoterSet table) {
        table.voters().stream()
                .filter(s -> last.containsKey(s.name())
                        && last.get(s.name()).applied()
                                > configurationStore.configuration().version())
                .map(Voter::address)
                .filter(a -> !a.equals(address))
                .min(Comparator.comparingInt(distance::of))
                .ifPresent(this::update);
    }

    /** Hears a core's reply or its news. */
    public void hear(final FeedMessage message) {
        if (message instanceof FeedMessage.FeedUpdate n) {
            update(n);
        } else if (message instanceof FeedMessage.FeedResponse back) {
            back(back);
        } else if (message instanceof FeedMessage.FreshnessResponse back) {
            back(back);
        }
    }

    /** What is told was chosen, so it may be in force before any proof names it. */
    private void update(final FeedMessage.FeedUpdate told) {
        if (told.change() != null && proposer.voterSet() != null) {
            learn(told.version(), told.change());
        }
        if (told.version() > configurationStore.configuration().version()) {
            tick();
        }
    }

    private void back(final FeedMessage.FeedResponse back) {
        if (back.table() != null && back.table().newerThan(proposer.voterSet())) {
            adopt.accept(back.table());
        }
        final VoterSet table = proposer.voterSet();
        final Voter voter = table == null ? null : table.voter(back.name());
        if (voter != null) {
            endpointRegistry.take(
                    voter.address(), back.registryIncarnation(), back.registryPlace(), back.listed(), back.reports());
        }
        if (back.registryIncarnation() != 0) {
            updateMs = clock.nowMs();
            edges(back);
        }
        final boolean answered = updateOf != null
                && (back.registryIncarnation() != 0
                        || voter != null && voter.address().equals(updateOf));
        updateOf = answered ? null : updateOf;
        final boolean same = table != null
                && (back.table() != null
                        ? table.hasEpoch(back.table().generation(), back.table().epoch())
                        : table.hasEpoch(back.generation(), back.epoch()));
        if (same) {
            take(back);
        }
        heard(
                back.name(),
                new Observation(back.voting(), back.applied(), back.newest()),
                back.requestId(),
                same,
                voter != null && voter.diskId().equals(back.diskId()));
        if (answered && updateOf == null && same && back.requestId() != 0) {
            updateOfAhead(table);
        }
    }

    private void edges(final FeedMessage.FeedResponse back) {
        if (!back.brief()) {
            edges = back.edges();
            edgesMark = back.edgesMark();
        } else if (back.edgesMark() != edgesMark) {
            return;
        }
        edgesMs = clock.nowMs();
    }

    private void back(final FeedMessage.FreshnessResponse back) {
        final VoterSet table = proposer.voterSet();
        final Voter voter = table == null ? null : table.voter(back.name());
        if (back.stranger() && voter != null) {
            post.send(voter.address(), ask(voter.address(), 0, false));
        }
        heard(
                back.name(),
                new Observation(back.voting(), back.newest() - back.behind(), back.newest()),
                back.requestId(),
                table != null && table.hasEpoch(back.generation(), back.epoch()),
                voter != null && Fingerprints.of(voter.diskId()) == back.diskMark());
    }

    private void heard(
            final String core,
            final Observation word,
            final long requestId,
            final boolean sameTable,
            final boolean ownDisk) {
        last.put(core, word);
        lastMs.put(core, clock.nowMs());
        if (!sameTable) {
            return;
        }
        final VoterSet table = proposer.voterSet();
        final Open ask = requests.get(requestId);
        if (ask != null && ask.table == table && word.voting() && ownDisk) {
            ask.newest.put(core, word.newest());
        }
        prove(table);
        final Voter voter = table.voter(core);
        if (word.applied() > configurationStore.configuration().version() && voter != null && requestId != 0) {
            if (!awaited()) {
                update(voter.address());
            }
        } else if (word.newest() > configurationStore.configuration().version()) {
            finish(table);
        }
    }

    private void take(final FeedMessage.FeedResponse back) {
        final long before = configurationStore.configuration().version();
        if (back.snapshot() != null) {
            configurationStore.load(back.snapshot());
        }
        for (final FeedMessage.Numbered n : back.changes()) {
            if (n.version() == configurationStore.configuration().version() + 1) {
                configurationStore.apply(n.version(), n.change());
            }
        }
        if (configurationStore.configuration().version() != before) {
            LOG.atInfo().log(
                    "event=policy node=%s version=%s before=%s",
                    self.get().name(), configurationStore.configuration().version(), before);
            applied.run();
        }
    }

    /** Finds the newest ask whose majority's newest version is in force here. */
    private void prove(final VoterSet table) {
        proof(table);
        while (!waiting.isEmpty() && waiting.peek().sinceMs <= provedMs) {
            final Waiting proved = waiting.poll();
            proved.waiter.accept(clock.nowMs() < proved.untilMs);
        }
    }

    private void proof(final VoterSet table) {
        final Iterator<Map.Entry<Long, Open>> it =
                requests.descendingMap().entrySet().iterator();
        while (it.hasNext()) {
            final Open ask = it.next().getValue();
            if (ask.table == table
                    && ask.newest.size() >= table.majority()
                    && ask.need() <= configurationStore.configuration().version()) {
                provedMs = Math.max(provedMs, ask.requestedMs);
                return;
            }
        }
    }

    private boolean finishing;

    /** A version was begun, and no one is known to have seen its end: reads it, which ends it. */
    private void finish(final VoterSet table) {
        if (finishing) {
            return;
        }
        final long next = Math.max(configurationStore.configuration().version() + 1, table.firstNumber());
        for (final Observation word : last.values()) {
            if (word.applied() >= next) {
                return;
            }
        }
        finishing = true;
        proposer.read(ConfigurationKeys.key(next), timing.freshMs() / 2, outcome -> {
            finishing = false;
            if (outcome instanceof spokestall.consensus.ProposalOutcome.Committed done
                    && done.value() != null
                    && proposer.voterSet() == table) {
                learn(next, done.value());
            }
        });
    }

    /** Applies a chosen change that this node has seen itself. */
    public void learn(final long version, final byte[] value) {
        final VoterSet table = proposer.voterSet();
        final boolean next = version == configurationStore.configuration().version() + 1
                || version == table.firstNumber()
                        && version > configurationStore.configuration().version();
        if (next) {
            final long before = configurationStore.configuration().version();
            configurationStore.apply(
                    version,
                    spokestall.message.MessageCodec.decodeRecord(
                            value, spokestall.configuration.ConfigurationChange.class));
            LOG.atInfo().log(
                    "event=policy node=%s version=%s before=%s", self.get().name(), version, before);
            applied.run();
            prove(table);
        }
    }
}
