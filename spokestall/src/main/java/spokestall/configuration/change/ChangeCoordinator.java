package spokestall.configuration.change;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.Configuration;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;
import spokestall.time.Clock;

/** Takes changes to the configuration: each is checked whole, then agreed as the one next version, or denied. */
public final class ChangeCoordinator {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String name;
    private final ConfigurationStore configurationStore;
    private final ConfigurationFormat form;
    private final Proposer proposer;
    private final FeedClient follower;
    private final Clock clock;
    private final LongSupplier fleetMs;
    private final long waitMs;
    private final int bytesMax;
    private final LongConsumer update;
    private final List<Attempt> attempts = new ArrayList<>();

    /** The fleet's time is zero while it isn't known. Example: see {@code Node}. */
    public ChangeCoordinator(
            final String name,
            final ConfigurationStore configurationStore,
            final ConfigurationFormat form,
            final Proposer proposer,
            final FeedClient follower,
            final Clock clock,
            final LongSupplier fleetMs,
            final long waitMs,
            final int bytesMax,
            final LongConsumer update) {
        this.name = name;
        this.configurationStore = configurationStore;
        this.form = form;
        this.proposer = proposer;
        this.follower = follower;
        this.clock = clock;
        this.fleetMs = fleetMs;
        this.waitMs = waitMs;
        this.bytesMax = bytesMax;
        this.update = update;
    }

    /** Takes a change made against one version; it is judged as {@link #agree} judges every order. */
    public void take(final long base, final String changeId, final ChangeDraft draft, final Consumer<Reply> done) {
        agree(
                changeId,
                tree -> configurationStore.configuration().version() == base
                        ? draft.on(tree)
                        : new ChangeDraft.Drafted.Stale(),
                waitMs,
                done);
    }

    /** Why a change can't be made on top of the configuration here, or null. */
    private Reply check(final ConfigurationChange change) {
        final JsonNode after = configurationStore.preview(change);
        final List<ConfigurationValidator.ValidationError> errors =
                form.check(after, configurationStore.configuration().tree());
        if (tooLarge(change, after)) {
            errors.add(new ConfigurationValidator.ValidationError("", "larger than policyMaxBytes"));
        }
        return errors.isEmpty() ? null : invalid(change.changeId(), errors);
    }

    private Reply invalid(final String changeId, final List<ConfigurationValidator.ValidationError> errors) {
        final ObjectNode out = fields(configurationStore.configuration().version(), changeId);
        final ArrayNode list = out.putArray("troubles");
        errors.forEach(t -> list.addObject().put("pointer", t.pointer()).put("reason", t.reason()));
        return Reply.of(ResultCode.INVALID, out);
    }

    /**
     * Makes an order into a change on top of the newest configuration, and anew when another change was first, until it holds,
     * no longer fits or the wait is over. What it is judged by is proved newest after it came, whatever the judgement: an
     * order is never called stale, invalid, missing or taken because this node is behind or was left behind.
     */
    public void agree(
            final String changeId, final ChangeDraft draft, final long waitLeftMs, final Consumer<Reply> done) {
        final long deadlineMs = clock.nowMs() + waitLeftMs;
        follower.current(waitLeftMs, current -> {
            if (!current || !governed()) {
                done.accept(notReady(changeId));
            } else {
                judge(changeId, draft, deadlineMs, done);
            }
        });
    }

    /**
     * Takes an order that has no id of its own and can't be told from a new one when it comes again. What waited at a node
     * that stood still or was cut off may have been sent again and undone elsewhere since, so only a node that was in touch
     * when the order came takes it. {@code changeId} must be a fresh one.
     */
    public void takeUnnamed(
            final String changeId, final ChangeDraft draft, final long waitLeftMs, final Consumer<Reply> done) {
        if (follower.fresh()) {
            agree(changeId, draft, waitLeftMs, done);
        } else {
            done.accept(notReady(changeId));
        }
    }

    /** Whether the configuration here is one of the generation that voters hold now. */
    private boolean governed() {
        return proposer.voterSet() != null
                && configurationStore.configuration().version()
                        >= proposer.voterSet().firstNumber();
    }

    private void judge(
            final String changeId, final ChangeDraft draft, final long deadlineMs, final Consumer<Reply> done) {
        final Long known = configurationStore.versionOf(changeId);
        if (known != null) {
            done.accept(accepted(known, changeId));
            return;
        }
        final long version = configurationStore.configuration().version();
        final ChangeDraft.Drafted drafted =
                draft.on(configurationStore.configuration().tree());
        if (drafted instanceof ChangeDraft.Drafted.Already) {
            done.accept(accepted(version, changeId));
        } else if (drafted instanceof ChangeDraft.Drafted.Stale) {
            done.accept(Reply.of(ResultCode.STALE_BASE, fields(version, changeId)));
        } else if (drafted instanceof ChangeDraft.Drafted.Missing) {
            done.accept(Reply.of(ResultCode.NOT_FOUND, fields(version, changeId)));
        } else if (drafted instanceof ChangeDraft.Drafted.Bad bad) {
            done.accept(invalid(
                    changeId, List.of(new ConfigurationValidator.ValidationError(bad.pointer(), bad.reason()))));
        } else if (drafted instanceof ChangeDraft.Drafted.Write write) {
            write(changeId, draft, write, deadlineMs, done);
        }
    }

    private void write(
            final String changeId,
            final ChangeDraft draft,
            final ChangeDraft.Drafted.Write write,
            final long deadlineMs,
            final Consumer<Reply> done) {
        final ConfigurationChange change = change(changeId, write);
        final Reply rejected = check(change);
        if (rejected != null) {
            done.accept(rejected);
            return;
        }
        final long leftMs = Math.min(waitMs, deadlineMs - clock.nowMs());
        propose(
                new Attempt(
                        configurationStore.configuration().version() + 1,
                        change,
                        done,
                        () -> again(changeId, draft, deadlineMs, done)),
                leftMs);
    }

    /**
     * Another change was first. What still fits on top of it is proposed at once, for that is taken only where nothing newer
     * is; any other end is judged by what is proved newest, never by what the order lost against.
     */
    private void again(
            final String changeId, final ChangeDraft draft, final long deadlineMs, final Consumer<Reply> done) {
        final long leftMs = deadlineMs - clock.nowMs();
        if (leftMs <= 0) {
            done.accept(notReady(changeId));
        } else if (governed()
                && configurationStore.versionOf(changeId) == null
                && draft.on(configurationStore.configuration().tree()) instanceof ChangeDraft.Drafted.Write write
                && check(change(changeId, write)) == null) {
            write(changeId, draft, write, deadlineMs, done);
        } else {
            agree(changeId, draft, leftMs, done);
        }
    }

    private ConfigurationChange change(final String changeId, final ChangeDraft.Drafted.Write write) {
        return new ConfigurationChange(changeId, write.kind(), bytes(write.json()), fleetMs.getAsLong());
    }

    /** The newest configuration, proved newest after the call came; null when that can't be had in time. */
    public void newest(final long waitLeftMs, final Consumer<Configuration> done) {
        follower.current(
                waitLeftMs, current -> done.accept(current && governed() ? configurationStore.configuration() : null));
    }

    /** A part can't make the whole larger than the two are together, so the whole is written out only near the bound. */
    private boolean tooLarge(final ConfigurationChange change, final JsonNode after) {
        final long before = change.kind() == ConfigurationChange.Kind.PUT ? 0 : configurationStore.bytesMost();
        return before + change.json().length > bytesMax && bytes(after).length > bytesMax;
    }

    /** A proposal under way: what follows where its own end is known, and where another change was first. */
    private static final class Attempt {
        private final long next;
        private final ConfigurationChange change;
        private final Consumer<Reply> known;
        private final Runnable beaten;

        Attempt(final long next, final ConfigurationChange change, final Consumer<Reply> known, final Runnable beaten) {
            this.next = next;
            this.change = change;
            this.known = known;
            this.beaten = beaten;
        }
    }

    private void propose(final Attempt attempt, final long leftMs) {
        final byte[] value = MessageCodec.encodeRecord(attempt.change);
        attempts.add(attempt);
        proposer.propose(
                ConfigurationKeys.key(attempt.next),
                leftMs,
                now -> edit(attempt.next, attempt.change, value, now),
                outcome -> ended(attempt, outcome));
    }

    private void ended(final Attempt attempt, final ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed done && done.value() != null) {
            chosen(attempt, done.value());
        }
        if (!attempts.remove(attempt)) {
            return;
        }
        final String changeId = attempt.change.changeId();
        if (outcome instanceof ProposalOutcome.Committed done
                && done.value() != null
                && same(done.value(), attempt.change)) {
            attempt.known.accept(accepted(attempt.next, changeId));
        } else if (outcome instanceof ProposalOutcome.Indeterminate) {
            attempt.known.accept(Reply.of(
                    ResultCode.UNDECIDED,
                    fields(configurationStore.configuration().version(), changeId)));
        } else if (outcome instanceof ProposalOutcome.NotCommitted) {
            attempt.known.accept(notReady(changeId));
        } else {
            attempt.beaten.run();
        }
    }

    /** The configuration here moved: a proposal for a version that it has reached need not find out by itself how it ended. */
    public void moved() {
        final long version = configurationStore.configuration().version();
        for (final Attempt attempt : List.copyOf(attempts)) {
            if (attempt.next <= version && attempts.remove(attempt)) {
                final Long known = configurationStore.versionOf(attempt.change.changeId());
                if (known != null) {
                    attempt.known.accept(accepted(known, attempt.change.changeId()));
                } else {
                    attempt.beaten.run();
                }
            }
        }
    }

    private RegisterEdit edit(final long next, final ConfigurationChange change, final byte[] value, final byte[] now) {
        if (now == null) {
            return next == configurationStore.configuration().version() + 1
                    ? new RegisterEdit.Set(value)
                    : RegisterEdit.LEAVE;
        }
        return same(now, change) ? new RegisterEdit.Set(now) : RegisterEdit.LEAVE;
    }

    private static boolean same(final byte[] value, final ConfigurationChange change) {
        return MessageCodec.decodeRecord(value, ConfigurationChange.class)
                .changeId()
                .equals(change.changeId());
    }

    private void chosen(final Attempt attempt, final byte[] value) {
        follower.learn(attempt.next, value);
        update.accept(attempt.next);
        LOG.atInfo().log(
                "event=policy_change node=%s version=%s changeId=%s accepted=%s",
                name, attempt.next, attempt.change.changeId(), same(value, attempt.change));
    }

    private Reply notReady(final String changeId) {
        return Reply.of(
                ResultCode.NOT_READY, fields(configurationStore.configuration().version(), changeId));
    }

    private Reply accepted(final long version, final String changeId) {
        final ObjectNode out = ConfigurationStore.JSON.createObjectNode();
        out.put("version", version).put("changeId", changeId);
        return Reply.of(ResultCode.OK, out);
    }

    private static ObjectNode fields(final long current, final String changeId) {
        return ConfigurationStore.JSON
                .createObjectNode()
                .put("current", current)
                .put("changeId", changeId);
    }

    private static byte[] bytes(final JsonNode json) {
        try {
            return ConfigurationStore.JSON.writeValueAsBytes(json);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
