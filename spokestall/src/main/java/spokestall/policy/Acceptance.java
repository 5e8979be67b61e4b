package spokestall.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import spokestall.ballot.Edit;
import spokestall.ballot.Outcome;
import spokestall.ballot.Proposer;
import spokestall.feed.Follower;
import spokestall.feed.Versions;
import spokestall.rpc.Reply;
import spokestall.rpc.Result;
import spokestall.time.Clock;
import spokestall.wire.Codec;

/** Takes changes to the policy: each is checked whole, then agreed as the one next version, or denied. */
public final class Acceptance {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String name;
    private final Book book;
    private final PolicyForm form;
    private final Proposer proposer;
    private final Follower follower;
    private final Clock clock;
    private final long waitMs;
    private final int bytesMax;
    private final LongConsumer news;

    /** Example: see {@code Node}. */
    public Acceptance(
            final String name,
            final Book book,
            final PolicyForm form,
            final Proposer proposer,
            final Follower follower,
            final Clock clock,
            final long waitMs,
            final int bytesMax,
            final LongConsumer news) {
        this.name = name;
        this.book = book;
        this.form = form;
        this.proposer = proposer;
        this.follower = follower;
        this.clock = clock;
        this.waitMs = waitMs;
        this.bytesMax = bytesMax;
        this.news = news;
    }

    /** Takes a change made against one version; it is judged as {@link #agree} judges every order.
     * Example: {@code acceptance.take(base, "chg-1", tree -> new Drafted.Write(PATCH, patch), reply -> ...);} */
    public void take(final long base, final String changeId, final Draft draft, final Consumer<Reply> done) {
        agree(
                changeId,
                tree -> book.policy().version() == base ? draft.on(tree) : new Draft.Drafted.Stale(),
                waitMs,
                done);
    }

    /** Why a change can't be made on top of the policy here, or null. */
    private Reply check(final Change change) {
        final JsonNode after = book.preview(change);
        final List<Rules.Trouble> troubles = form.check(after, book.policy().tree());
        if (tooLarge(change, after)) {
            troubles.add(new Rules.Trouble("", "larger than policyMaxBytes"));
        }
        return troubles.isEmpty() ? null : invalid(change.changeId(), troubles);
    }

    private Reply invalid(final String changeId, final List<Rules.Trouble> troubles) {
        final ObjectNode out = fields(book.policy().version(), changeId);
        final ArrayNode list = out.putArray("troubles");
        troubles.forEach(t -> list.addObject().put("pointer", t.pointer()).put("reason", t.reason()));
        return Reply.of(Result.INVALID, out);
    }

    /**
     * Makes an order into a change on top of the newest policy, and anew when another change was first, until it holds,
     * no longer fits or the wait is over. What it is judged by is proved newest after it came, whatever the judgement: an
     * order is never called stale, invalid, missing or taken because this node is behind or was left behind.
     * Example: {@code acceptance.agree("hold-1", tree -> ..., 2000, reply -> ...);}
     */
    public void agree(final String changeId, final Draft draft, final long waitLeftMs, final Consumer<Reply> done) {
        final long deadlineMs = clock.nowMs() + waitLeftMs;
        follower.current(waitLeftMs, current -> {
            if (!current || !governed()) {
                done.accept(notReady(changeId));
            } else {
                judge(changeId, draft, deadlineMs, done);
            }
        });
    }

    /** Whether the policy here is one of the generation that voters hold now. */
    private boolean governed() {
        return proposer.voters() != null
                && book.policy().version() >= proposer.voters().firstNumber();
    }

    private void judge(final String changeId, final Draft draft, final long deadlineMs, final Consumer<Reply> done) {
        final Long known = book.versionOf(changeId);
        if (known != null) {
            done.accept(accepted(known, changeId));
            return;
        }
        final long version = book.policy().version();
        final Draft.Drafted drafted = draft.on(book.policy().tree());
        if (drafted instanceof Draft.Drafted.Already) {
            done.accept(accepted(version, changeId));
        } else if (drafted instanceof Draft.Drafted.Stale) {
            done.accept(Reply.of(Result.STALE_BASE, fields(version, changeId)));
        } else if (drafted instanceof Draft.Drafted.Missing) {
            done.accept(Reply.of(Result.NOT_FOUND, fields(version, changeId)));
        } else if (drafted instanceof Draft.Drafted.Bad bad) {
            done.accept(invalid(changeId, List.of(new Rules.Trouble(bad.pointer(), bad.reason()))));
        } else if (drafted instanceof Draft.Drafted.Write write) {
            write(changeId, draft, write, deadlineMs, done);
        }
    }

    private void write(
            final String changeId,
            final Draft draft,
            final Draft.Drafted.Write write,
            final long deadlineMs,
            final Consumer<Reply> done) {
        final Change change = new Change(changeId, write.kind(), bytes(write.json()));
        final Reply denied = check(change);
        if (denied != null) {
            done.accept(denied);
            return;
        }
        final long leftMs = Math.min(waitMs, deadlineMs - clock.nowMs());
        propose(
                book.policy().version() + 1,
                change,
                leftMs,
                new Proposed(done, () -> again(changeId, draft, deadlineMs, done)));
    }

    /** Another change was first: the order is judged anew by what is newest now, never by what it lost against. */
    private void again(final String changeId, final Draft draft, final long deadlineMs, final Consumer<Reply> done) {
        final long leftMs = deadlineMs - clock.nowMs();
        if (leftMs > 0) {
            agree(changeId, draft, leftMs, done);
        } else {
            done.accept(notReady(changeId));
        }
    }

    /** The newest policy, proved newest after the call came; null when that can't be had in time.
     * Example: {@code acceptance.newest(1000, policy -> ...);} */
    public void newest(final long waitLeftMs, final Consumer<Policy> done) {
        follower.current(waitLeftMs, current -> done.accept(current && governed() ? book.policy() : null));
    }

    /** A part can't make the whole larger than the two are together, so the whole is written out only near the bound. */
    private boolean tooLarge(final Change change, final JsonNode after) {
        final long before = change.kind() == Change.Kind.PUT ? 0 : book.bytesMost();
        return before + change.json().length > bytesMax && bytes(after).length > bytesMax;
    }

    /** What follows a proposal: the reply where its own end is known, another way where another change was first. */
    private record Proposed(Consumer<Reply> known, Runnable beaten) {}

    private void propose(final long next, final Change change, final long leftMs, final Proposed then) {
        final byte[] value = Codec.bytes(change);
        proposer.change(Versions.key(next), leftMs, now -> edit(next, change, value, now), outcome -> {
            if (outcome instanceof Outcome.Done done && done.value() != null) {
                chosen(next, change, done.value(), then);
            } else if (outcome instanceof Outcome.Undecided) {
                then.known.accept(
                        Reply.of(Result.UNDECIDED, fields(book.policy().version(), change.changeId())));
            } else if (outcome instanceof Outcome.NotDone) {
                then.known.accept(notReady(change.changeId()));
            } else {
                then.beaten.run();
            }
        });
    }

    private Edit edit(final long next, final Change change, final byte[] value, final byte[] now) {
        if (now == null) {
            return next == book.policy().version() + 1 ? new Edit.Set(value) : Edit.LEAVE;
        }
        return same(now, change) ? new Edit.Set(now) : Edit.LEAVE;
    }

    private static boolean same(final byte[] value, final Change change) {
        return Codec.record(value, Change.class).changeId().equals(change.changeId());
    }

    private void chosen(final long next, final Change change, final byte[] value, final Proposed then) {
        follower.learn(next, value);
        news.accept(next);
        final boolean ours = same(value, change);
        LOG.atInfo().log(
                "event=policy_change node=%s version=%s changeId=%s accepted=%s", name, next, change.changeId(), ours);
        if (ours) {
            then.known.accept(accepted(next, change.changeId()));
        } else {
            then.beaten.run();
        }
    }

    private Reply notReady(final String changeId) {
        return Reply.of(Result.NOT_READY, fields(book.policy().version(), changeId));
    }

    private Reply accepted(final long version, final String changeId) {
        final ObjectNode out = Book.JSON.createObjectNode();
        out.put("version", version).put("changeId", changeId);
        return Reply.of(Result.OK, out);
    }

    private static ObjectNode fields(final long current, final String changeId) {
        return Book.JSON.createObjectNode().put("current", current).put("changeId", changeId);
    }

    private static byte[] bytes(final JsonNode json) {
        try {
            return Book.JSON.writeValueAsBytes(json);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
