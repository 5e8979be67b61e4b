package spokestall.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.util.List;
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

    /** Example: {@code acceptance.take(Change.Kind.PATCH, base, "chg-1", patch, reply -> ...);} */
    public void take(
            final Change.Kind kind,
            final long base,
            final String changeId,
            final JsonNode json,
            final java.util.function.Consumer<Reply> done) {
        final Long known = book.versionOf(changeId);
        if (known != null) {
            done.accept(accepted(known, changeId));
            return;
        }
        final long current = book.policy().version();
        if (proposer.voters() == null || current < proposer.voters().firstNumber() || base > current) {
            done.accept(Reply.of(Result.NOT_READY, fields(current, changeId)));
            return;
        }
        final Change change = new Change(changeId, kind, bytes(json));
        final Reply denied = base == current ? check(change) : null;
        if (denied != null) {
            done.accept(denied);
        } else {
            propose(base + 1, change, waitMs, done);
        }
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
     * no longer fits or the wait is over. What it is judged by is proved newest after it came: an order is never called
     * stale because this node is behind.
     * Example: {@code acceptance.agree("hold-1", tree -> ..., 2000, reply -> ...);}
     */
    public void agree(
            final String changeId,
            final Draft draft,
            final long waitLeftMs,
            final java.util.function.Consumer<Reply> done) {
        final long begunMs = clock.nowMs();
        follower.current(waitLeftMs, current -> {
            final Long known = book.versionOf(changeId);
            if (known != null) {
                done.accept(accepted(known, changeId));
            } else if (!current
                    || proposer.voters() == null
                    || book.policy().version() < proposer.voters().firstNumber()) {
                done.accept(Reply.of(Result.NOT_READY, fields(book.policy().version(), changeId)));
            } else {
                drafted(changeId, draft, waitLeftMs - (clock.nowMs() - begunMs), done);
            }
        });
    }

    private void drafted(
            final String changeId,
            final Draft draft,
            final long waitLeftMs,
            final java.util.function.Consumer<Reply> done) {
        final long begunMs = clock.nowMs();
        final long version = book.policy().version();
        final Draft.Drafted drafted = draft.on(book.policy().tree());
        if (drafted instanceof Draft.Drafted.Already) {
            done.accept(accepted(version, changeId));
        } else if (drafted instanceof Draft.Drafted.Stale) {
            done.accept(Reply.of(Result.STALE_BASE, fields(version, changeId)));
        } else if (drafted instanceof Draft.Drafted.Bad bad) {
            done.accept(invalid(changeId, List.of(new Rules.Trouble(bad.pointer(), bad.reason()))));
        } else if (drafted instanceof Draft.Drafted.Write write) {
            final Change change = new Change(changeId, write.kind(), bytes(write.json()));
            final Reply denied = check(change);
            if (denied != null) {
                done.accept(denied);
                return;
            }
            propose(version + 1, change, Math.min(waitMs, waitLeftMs), reply -> {
                final long leftMs = waitLeftMs - (clock.nowMs() - begunMs);
                if (reply.result() == Result.STALE_BASE && leftMs > 0) {
                    agree(changeId, draft, leftMs, done);
                } else {
                    done.accept(reply);
                }
            });
        }
    }

    /** The newest policy, proved newest after the call came; null when that can't be had in time.
     * Example: {@code acceptance.newest(1000, policy -> ...);} */
    public void newest(final long waitLeftMs, final java.util.function.Consumer<Policy> done) {
        follower.current(waitLeftMs, current -> done.accept(current ? book.policy() : null));
    }

    /** A part can't make the whole larger than the two are together, so the whole is written out only near the bound. */
    private boolean tooLarge(final Change change, final JsonNode after) {
        final long before = change.kind() == Change.Kind.PUT ? 0 : book.bytesMost();
        return before + change.json().length > bytesMax && bytes(after).length > bytesMax;
    }

    private void propose(
            final long next, final Change change, final long leftMs, final java.util.function.Consumer<Reply> done) {
        final byte[] value = Codec.bytes(change);
        proposer.change(
                Versions.key(next),
                leftMs,
                now -> now == null && next == book.policy().version() + 1
                                || now != null
                                        && Codec.record(now, Change.class)
                                                .changeId()
                                                .equals(change.changeId())
                        ? new Edit.Set(now == null ? value : now)
                        : Edit.LEAVE,
                outcome -> {
                    if (outcome instanceof Outcome.Done d && d.value() != null) {
                        follower.learn(next, d.value());
                        news.accept(next);
                        final boolean ours =
                                Codec.record(d.value(), Change.class).changeId().equals(change.changeId());
                        LOG.atInfo().log(
                                "event=policy_change node=%s version=%s changeId=%s accepted=%s",
                                name, next, change.changeId(), ours);
                        done.accept(
                                ours
                                        ? accepted(next, change.changeId())
                                        : Reply.of(
                                                Result.STALE_BASE,
                                                fields(book.policy().version(), change.changeId())));
                    } else if (outcome instanceof Outcome.Undecided) {
                        done.accept(
                                Reply.of(Result.UNDECIDED, fields(book.policy().version(), change.changeId())));
                    } else if (outcome instanceof Outcome.NotDone) {
                        done.accept(
                                Reply.of(Result.NOT_READY, fields(book.policy().version(), change.changeId())));
                    } else {
                        done.accept(
                                Reply.of(Result.STALE_BASE, fields(book.policy().version(), change.changeId())));
                    }
                });
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
