package spokestall.feed;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import spokestall.ballot.Proposer;
import spokestall.ballot.Seat;
import spokestall.ballot.Voters;
import spokestall.listing.Listing;
import spokestall.policy.Book;
import spokestall.time.Clock;
import spokestall.view.Member;
import spokestall.wire.Post;

/**
 * Follows the numbered feed from a place on and keeps the freshness proof: the newest version that a majority of
 * voters confirmed, aged from when this node asked them.
 */
public final class Follower {
    /** Spans, from the settings. */
    public record Pace(long freshMs, int asksOpenMax) {
    }

    private static final class Open {
        private final long askedMs;
        private final Map<String, Long> newest = new HashMap<>();
        private final Voters table;

        Open(final long askedMs, final Voters table) {
            this.askedMs = askedMs;
            this.table = table;
        }

        long need() {
            return newest.values().stream().mapToLong(Long::longValue).max().orElse(Long.MAX_VALUE);
        }
    }

    private record Waiting(long sinceMs, Consumer<Boolean> waiter) {
        void done(final boolean current) {
            waiter.accept(current);
        }
    }

    private static final int WAITING_MAX = 256;
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String address;
    private final Supplier<Member> self;
    private final Book book;
    private final Listing listing;
    private final Proposer proposer;
    private final Post post;
    private final Clock clock;
    private final Pace pace;
    private final Supplier<List<String>> strangers;
    private final Consumer<Voters> adopt;
    private final Runnable applied;
    private final IntSupplier open;
    private final TreeMap<Long, Open> asks = new TreeMap<>();
    private final Map<String, FeedNote.FeedBack> last = new TreeMap<>();
    private final Map<String, Long> lastMs = new HashMap<>();
    private long provedMs = Long.MIN_VALUE / 2;
    private long nextAskId = 1;
    private int turn;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

    /** Example: see {@code Node}. */
    public Follower(final Supplier<Member> self, final Book book, final Listing listing, final Proposer proposer,
            final Post post, final Clock clock, final Pace pace, final Supplier<List<String>> strangers,
            final Consumer<Voters> adopt, final Runnable applied, final IntSupplier open) {
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
    public Map<String, FeedNote.FeedBack> last() {
        return last;
    }

    /** How long ago a core last answered. Example: {@code follower.heardMs("d1-core")} */
    public long heardMs(final String core) {
        final Long at = lastMs.get(core);
        return at == null ? Long.MAX_VALUE : clock.nowMs() - at;
    }

    /** One beat: asks every core what is newest, and one of them for news. Example: {@code follower.tick();} */
    public void tick() {
        final Voters table = proposer.voters();
        final List<String> cores = new ArrayList<>();
        if (table == null) {
            cores.addAll(strangers.get());
        } else {
            for (final Seat seat : table.seats()) {
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
        final int newsFrom = turn++ % cores.size();
        for (int i = 0; i < cores.size(); i++) {
            post.send(cores.get(i), new FeedNote.FeedAsk(address, self.get(), fresh(), open.getAsInt(), askId, i == newsFrom,
                    book.policy().version(), listing.lifeHeard(cores.get(i)), listing.placeHeard(cores.get(i))));
        }
    }

    /** Tells when the policy here is proved newest by an ask made from now on, or that it wasn't in time.
     * Example: {@code follower.current(500, current -> answer(current));} */
    public void current(final long waitMs, final Consumer<Boolean> done) {
        if (waitMs <= 0 || waiting.size() >= WAITING_MAX) {
            done.accept(false);
            return;
        }
        final Waiting mine = new Waiting(clock.nowMs(), done);
        waiting.add(mine);
        clock.after(waitMs, () -> {
            if (waiting.remove(mine)) {
                mine.done(false);
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

    private void news(final String core) {
        post.send(core, new FeedNote.FeedAsk(address, self.get(), fresh(), open.getAsInt(), 0, true, book.policy().version(),
                listing.lifeHeard(core), listing.placeHeard(core)));
    }

    /** Hears a core's reply or its news. Example: {@code follower.hear(note);} */
    public void hear(final FeedNote note) {
        if (note instanceof FeedNote.FeedNews n) {
            if (n.version() > book.policy().version()) {
                tick();
            }
        } else if (note instanceof FeedNote.FeedBack back) {
            back(back);
        }
    }

    private void back(final FeedNote.FeedBack back) {
        if (back.table() != null && back.table().newerThan(proposer.voters())) {
            adopt.accept(back.table());
        }
        final Voters table = proposer.voters();
        last.put(back.name(), back);
        lastMs.put(back.name(), clock.nowMs());
        final Seat seat = table == null ? null : table.seat(back.name());
        if (seat != null) {
            listing.take(seat.address(), back.listingLife(), back.listingPlace(), back.listed(), back.reports());
        }
        if (table == null || back.table() == null || !table.same(back.table().generation(), back.table().epoch())) {
            return;
        }
        take(back);
        final Open ask = asks.get(back.askId());
        if (ask != null && ask.table == table && back.voting() && seat != null
                && seat.diskId().equals(back.diskId())) {
            ask.newest.put(back.name(), back.newest());
        }
        prove(table);
        if (back.applied() > book.policy().version() && seat != null && back.askId() != 0) {
            news(seat.address());
        } else if (back.newest() > book.policy().version()) {
            finish(table);
        }
    }

    private void take(final FeedNote.FeedBack back) {
        final long before = book.policy().version();
        if (back.snapshot() != null) {
            book.load(back.snapshot());
        }
        for (final FeedNote.Numbered n : back.changes()) {
            if (n.version() == book.policy().version() + 1) {
                book.apply(n.version(), n.change());
            }
        }
        if (book.policy().version() != before) {
            LOG.atInfo().log("event=policy node=%s version=%s before=%s", self.get().name(), book.policy().version(),
                    before);
            applied.run();
        }
    }

    /** Finds the newest ask whose majority's newest version is in force here. */
    private void prove(final Voters table) {
        proof(table);
        while (!waiting.isEmpty() && waiting.peek().sinceMs <= provedMs) {
            waiting.poll().done(true);
        }
    }

    private void proof(final Voters table) {
        final Iterator<Map.Entry<Long, Open>> it = asks.descendingMap().entrySet().iterator();
        while (it.hasNext()) {
            final Open ask = it.next().getValue();
            if (ask.table == table && ask.newest.size() >= table.majority()
                    && ask.need() <= book.policy().version()) {
                provedMs = Math.max(provedMs, ask.askedMs);
                return;
            }
        }
    }

    private boolean finishing;

    /** A version was begun, and no one is known to have seen its end: reads it, which ends it. */
    private void finish(final Voters table) {
        if (finishing) {
            return;
        }
        final long next = Math.max(book.policy().version() + 1, table.firstNumber());
        for (final FeedNote.FeedBack back : last.values()) {
            if (back.applied() >= next) {
                return;
            }
        }
        finishing = true;
        proposer.read(Versions.key(next), pace.freshMs() / 2, outcome -> {
            finishing = false;
            if (outcome instanceof spokestall.ballot.Outcome.Done done && done.value() != null
                    && proposer.voters() == table) {
                learn(next, done.value());
            }
        });
    }

    /** Applies a chosen change that this node has seen itself. Example: {@code follower.learn(18, bytes);} */
    public void learn(final long version, final byte[] value) {
        final Voters table = proposer.voters();
        final boolean next = version == book.policy().version() + 1
                || version == table.firstNumber() && version > book.policy().version();
        if (next) {
            final long before = book.policy().version();
            book.apply(version, spokestall.wire.Codec.record(value, spokestall.policy.Change.class));
            LOG.atInfo().log("event=policy node=%s version=%s before=%s", self.get().name(), version, before);
            applied.run();
            prove(table);
        }
    }
}
