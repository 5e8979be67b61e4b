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
    public record Pace(long freshMs, int asksOpenMax, long newsWaitMs, int roveEvery, boolean whole) {}

    /** What a core last said. */
    public record Word(boolean voting, long applied, long newest) {}

    /** How far a core is from here; the nearest is asked for news. */
    public interface Distance {
        /** Example: {@code distance.of("10.0.1.1:7100") == 0} is this node itself. */
        int of(String address);
    }

    private static final class Open {
        private final long askedMs;
        private final Map<String, Long> newest = new HashMap<>();
        private final VoterSet table;

        Open(final long askedMs, final VoterSet table) {
            this.askedMs = askedMs;
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
    private final ConfigurationStore book;
    private final EndpointRegistry listing;
    private final Proposer proposer;
    private final MessageSender post;
    private final Clock clock;
    private Pace pace;
    private final Supplier<List<String>> strangers;
    private final Consumer<VoterSet> adopt;
    private final Runnable applied;
    private final IntSupplier open;
    private final TreeMap<Long, Open> asks = new TreeMap<>();
    private final Map<String, Word> last = new TreeMap<>();
    private final Map<String, Long> lastMs = new HashMap<>();
    private long provedMs = Long.MIN_VALUE / 2;
    private final Distance distance;
    private long nextAskId = 1;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private int turn = -1;
    private int asked;
    private long newsMs = Long.MIN_VALUE / 2;
    /** Who was asked for news and has not answered, and since when; null if nobody. */
    private String newsOf;

    private long newsOfMs;
    private List<NodeInfo> edges = List.of();
    private long edgesMark;
    private long edgesMs = Long.MIN_VALUE / 2;

    /** Example: see {@code Node}. */
    public FeedClient(
            final Supplier<NodeInfo> self,
            final ConfigurationStore book,
            final EndpointRegistry listing,
            final Proposer proposer,
            final MessageSender post,
            final Clock clock,
            final Pace pace,
            final Supplier<List<String>> strangers,
            final Consumer<VoterSet> adopt,
            final Runnable applied,
            final IntSupplier open,
            final Distance distance) {
        this.self = self;
        this.address = self.get().address();
        this.book = book;
        this.listing = listing;
        this.proposer = proposer;
        this.post = post;
        this.clock = clock;
        this.pace = pace;
        this.strangers = strangers;
        this.adopt = adopt;
        this.applied = applied;
        this.open = open;
        this.distance = distance;
    }

    /** Keeps to other bounds from now on. Example: {@code follower.pace(newer);} */
    public void pace(final Pace newer) {
        pace = newer;
    }

    /** The age of the newest proof. Example: {@code if (follower.ageMs() > bound) deny();} */
    public long ageMs() {
        return clock.nowMs() - provedMs;
    }

    /** Whether the policy here is proved fresh enough to act on. Example: {@code if (!follower.fresh()) deny();} */
    public boolean fresh() {
        return ageMs() <= pace.freshMs();
    }

    /** When the present proof is too old. Example: {@code Math.min(deadlineMs, follower.freshUntilMs())} */
    public long freshUntilMs() {
        return provedMs + pace.freshMs();
    }

    /** What the cores last said, by name. Example: {@code follower.last().values()} */
    public Map<String, Word> last() {
        return last;
    }

    /** How long ago a core last answered. Example: {@code follower.heardMs("d1-core")} */
    public long heardMs(final String core) {
        final Long at = lastMs.get(core);
        return at == null ? Long.MAX_VALUE : clock.nowMs() - at;
    }

    /** The edges that a core named so short a while ago. Example: {@code follower.edges(1200)} */
    public List<NodeInfo> edges(final long spanMs) {
        return clock.nowMs() - edgesMs <= spanMs ? edges : List.of();
    }

    /** One beat: asks every core what is newest, and one of them for news. Example: {@code follower.tick();} */
    public void tick() {
        final VoterSet table = proposer.voters();
        final List<String> cores = new ArrayList<>();
        if (table == null) {
            cores.addAll(strangers.get());
        } else {
            for (final Voter seat : table.seats()) {
                cores.add(seat.address());
            }
        }
        if (cores.isEmpty()) {
            return;
        }
        final long askId = nextAskId++;
        asks.put(askId, new Open(clock.nowMs(), table));
        while (asks.size() > pace.asksOpenMax()) {
            asks.pollFirstEntry();
        }
        final String newsFrom = newsFrom(cores);
        if (newsOf == null) {
            newsOf = newsFrom;
            newsOfMs = clock.nowMs();
        }
        for (final String core : cores) {
            if (core.equals(newsFrom) || pace.whole()) {
                post.send(core, ask(core, askId, core.equals(newsFrom)));
            } else {
                final NodeInfo me = self.get();
                post.send(
                        core,
                        new FeedMessage.ProofAsk(
                                address,
                                me.life(),
                                me.serves(),
                                fresh(),
                                me.leaving(),
                                open.getAsInt(),
                                askId,
                                table == null ? 0 : table.generation(),
                                table == null ? 0 : table.epoch()));
            }
        }
    }

    /** Tells when the policy here is proved newest by an ask made from now on, or that it wasn't in time: a node that stood
     * still meanwhile says nothing of what it was told before.
     * Example: {@code follower.current(500, current -> answer(current));} */
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
        final long spanMs = Math.max(1, pace.freshMs() / 6);
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
    private String newsFrom(final List<String> cores) {
        final List<String> others = new ArrayList<>(cores);
        others.remove(address);
        if (others.isEmpty()) {
            return cores.get(0);
        }
        others.sort(Comparator.comparingInt(distance::of));
        final long nowMs = clock.nowMs();
        if (nowMs - newsMs > pace.newsWaitMs()) {
            newsMs = nowMs;
            turn++;
        }
        if (++asked % (8 * pace.roveEvery()) == 0) {
            turn = 0;
        }
        return others.get((turn + (asked % pace.roveEvery() == 0 ? 1 + asked / pace.roveEvery() : 0)) % others.size());
    }

    private FeedMessage.FeedAsk ask(final String core, final long askId, final boolean news) {
        final VoterSet table = proposer.voters();
        return new FeedMessage.FeedAsk(
                address,
                self.get(),
                fresh(),
                open.getAsInt(),
                askId,
                news,
                book.policy().version(),
                listing.lifeHeard(core),
                listing.placeHeard(core),
                table == null ? 0 : table.generation(),
                table == null ? 0 : table.epoch(),
                edgesMark);
    }

    private void news(final String core) {
        newsOf = core;
        newsOfMs = clock.nowMs();
        post.send(core, ask(core, 0, true));
    }

    /** Whether someone was asked a moment ago, so that what all have is not fetched from each. */
    private boolean awaited() {
        return newsOf != null && clock.nowMs() - newsOfMs < pace.newsWaitMs() / 3;
    }

    /** Asks the nearest that is known to be ahead, if any is. */
    private void newsOfAhead(final VoterSet table) {
        table.seats().stream()
                .filter(s -> last.containsKey(s.name())
                        && last.get(s.name()).applied() > book.policy().version())
                .map(Voter::address)
                .filter(a -> !a.equals(address))
                .min(Comparator.comparingInt(distance::of))
                .ifPresent(this::news);
    }

    /** Hears a core's reply or its news. Example: {@code follower.hear(note);} */
    public void hear(final FeedMessage note) {
        if (note instanceof FeedMessage.FeedNews n) {
            news(n);
        } else if (note instanceof FeedMessage.FeedBack back) {
            back(back);
        } else if (note instanceof FeedMessage.ProofBack back) {
            back(back);
        }
    }

    /** What is told was chosen, so it may be in force before any proof names it. */
    private void news(final FeedMessage.FeedNews told) {
        if (told.change() != null && proposer.voters() != null) {
            learn(told.version(), told.change());
        }
        if (told.version() > book.policy().version()) {
            tick();
        }
    }

    private void back(final FeedMessage.FeedBack back) {
        if (back.table() != null && back.table().newerThan(proposer.voters())) {
            adopt.accept(back.table());
        }
        final VoterSet table = proposer.voters();
        final Voter seat = table == null ? null : table.seat(back.name());
        if (seat != null) {
            listing.take(seat.address(), back.listingLife(), back.listingPlace(), back.listed(), back.reports());
        }
        if (back.listingLife() != 0) {
            newsMs = clock.nowMs();
            edges(back);
        }
        final boolean answered = newsOf != null
                && (back.listingLife() != 0 || seat != null && seat.address().equals(newsOf));
        newsOf = answered ? null : newsOf;
        final boolean same = table != null
                && (back.table() != null
                        ? table.same(back.table().generation(), back.table().epoch())
                        : table.same(back.generation(), back.epoch()));
        if (same) {
            take(back);
        }
        heard(
                back.name(),
                new Word(back.voting(), back.applied(), back.newest()),
                back.askId(),
                same,
                seat != null && seat.diskId().equals(back.diskId()));
        if (answered && newsOf == null && same && back.askId() != 0) {
            newsOfAhead(table);
        }
    }

    private void edges(final FeedMessage.FeedBack back) {
        if (!back.brief()) {
            edges = back.edges();
            edgesMark = back.edgesMark();
        } else if (back.edgesMark() != edgesMark) {
            return;
        }
        edgesMs = clock.nowMs();
    }

    private void back(final FeedMessage.ProofBack back) {
        final VoterSet table = proposer.voters();
        final Voter seat = table == null ? null : table.seat(back.name());
        if (back.stranger() && seat != null) {
            post.send(seat.address(), ask(seat.address(), 0, false));
        }
        heard(
                back.name(),
                new Word(back.voting(), back.newest() - back.behind(), back.newest()),
                back.askId(),
                table != null && table.same(back.generation(), back.epoch()),
                seat != null && Fingerprints.of(seat.diskId()) == back.diskMark());
    }

    private void heard(
            final String core, final Word word, final long askId, final boolean sameTable, final boolean ownDisk) {
        last.put(core, word);
        lastMs.put(core, clock.nowMs());
        if (!sameTable) {
            return;
        }
        final VoterSet table = proposer.voters();
        final Open ask = asks.get(askId);
        if (ask != null && ask.table == table && word.voting() && ownDisk) {
            ask.newest.put(core, word.newest());
        }
        prove(table);
        final Voter seat = table.seat(core);
        if (word.applied() > book.policy().version() && seat != null && askId != 0) {
            if (!awaited()) {
                news(seat.address());
            }
        } else if (word.newest() > book.policy().version()) {
            finish(table);
        }
    }

    private void take(final FeedMessage.FeedBack back) {
        final long before = book.policy().version();
        if (back.snapshot() != null) {
            book.load(back.snapshot());
        }
        for (final FeedMessage.Numbered n : back.changes()) {
            if (n.version() == book.policy().version() + 1) {
                book.apply(n.version(), n.change());
            }
        }
        if (book.policy().version() != before) {
            LOG.atInfo().log(
                    "event=policy node=%s version=%s before=%s",
                    self.get().name(), book.policy().version(), before);
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
                asks.descendingMap().entrySet().iterator();
        while (it.hasNext()) {
            final Open ask = it.next().getValue();
            if (ask.table == table
                    && ask.newest.size() >= table.majority()
                    && ask.need() <= book.policy().version()) {
                provedMs = Math.max(provedMs, ask.askedMs);
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
        final long next = Math.max(book.policy().version() + 1, table.firstNumber());
        for (final Word word : last.values()) {
            if (word.applied() >= next) {
                return;
            }
        }
        finishing = true;
        proposer.read(ConfigurationKeys.key(next), pace.freshMs() / 2, outcome -> {
            finishing = false;
            if (outcome instanceof spokestall.consensus.ProposalOutcome.Done done
                    && done.value() != null
                    && proposer.voters() == table) {
                learn(next, done.value());
            }
        });
    }

    /** Applies a chosen change that this node has seen itself. Example: {@code follower.learn(18, bytes);} */
    public void learn(final long version, final byte[] value) {
        final VoterSet table = proposer.voters();
        final boolean next = version == book.policy().version() + 1
                || version == table.firstNumber() && version > book.policy().version();
        if (next) {
            final long before = book.policy().version();
            book.apply(
                    version,
                    spokestall.message.MessageCodec.record(value, spokestall.configuration.ConfigurationChange.class));
            LOG.atInfo().log(
                    "event=policy node=%s version=%s before=%s", self.get().name(), version, before);
            applied.run();
            prove(table);
        }
    }
}
