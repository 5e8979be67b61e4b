package spokestall.configuration.change;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import spokestall.api.Reply;
import spokestall.configuration.Configuration;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ConfigurationValidator.ValidationError;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;
import spokestall.time.Clock;

/**
 * Makes operators' requests into committed changes: each is drafted on the newest version, validated as a whole, and proposed
 * as the one next version.
 *
 * <p>A request is judged only by a configuration that was confirmed to be the newest after the request arrived: it is never
 * called stale, invalid, missing or done because this node lags behind. When another change commits first, the request is
 * drafted anew on top of it until it commits, no longer applies, or its time is over. A request whose change id committed
 * lately is acknowledged with that version, not applied again.
 *
 * <p>Not thread-safe; all calls and callbacks on the node's event loop. Each callback receives one reply.
 */
public final class ChangeCoordinator {
    /** The bounds of a change. */
    public record Limits(long proposalTimeoutMs, int configurationBytesMax) {}

    /**
     * What the coordinator proposes with.
     *
     * @param feedClient confirms which version is the newest, and applies those that commit here
     */
    public record Replication(ConfigurationStore configurationStore, Proposer proposer, FeedClient feedClient) {}

    /** What the coordinator needs of its node, and tells it. */
    public interface Host {
        /** Returns the node's name, for logs. */
        String name();

        /** Returns the fleet's time that the next change is stamped with, or 0 while it isn't known. */
        long fleetMs();

        /** A version was chosen by a proposal of this node, and is applied here if it was the next. */
        void onCommitted(long version);
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** While more changes than this are in progress, a change is given up with its call. */
    private static final int PENDING_CHANGES_MAX = 64;

    private final Host host;
    private final ConfigurationStore configurationStore;
    private final Proposer proposer;
    private final FeedClient feedClient;
    private final ConfigurationFormat format;
    private final Clock clock;
    private final Limits limits;
    /** The proposals whose end still matters, in the order in which they began. */
    private final List<ChangeAttempt.Proposal> proposals = new ArrayList<>();

    private int pendingChanges;

    /** Creates a coordinator without attempts. */
    public ChangeCoordinator(
            final Host host,
            final Replication replication,
            final ConfigurationFormat format,
            final Clock clock,
            final Limits limits) {
        this.host = host;
        this.configurationStore = replication.configurationStore();
        this.proposer = replication.proposer();
        this.feedClient = replication.feedClient();
        this.format = format;
        this.clock = clock;
        this.limits = limits;
    }

    /** Submits a change that was made against one version and is stale on top of any other. */
    public void submitAgainst(
            final long baseVersion, final String changeId, final ChangeDraft draft, final Consumer<Reply> callback) {
        submit(
                changeId,
                tree -> appliedVersion() == baseVersion ? draft.draftOn(tree) : new ChangeDraft.Drafted.StaleBase(),
                ChangeDeadlines.of(limits.proposalTimeoutMs()),
                callback);
    }

    /** Submits a change under the id that the operator gave it; submitted again, it is acknowledged again. */
    public void submit(
            final String changeId,
            final ChangeDraft draft,
            final ChangeDeadlines deadlines,
            final Consumer<Reply> callback) {
        final long receivedMs = clock.nowMs();
        final boolean overloaded = pendingChanges >= PENDING_CHANGES_MAX;
        final long timeoutMillis = overloaded ? deadlines.replyAfterMillis() : deadlines.abandonAfterMillis();
        final CallerReply reply = new CallerReply(changeId, this::appliedVersion, callback);
        if (deadlines.mayReplyEarly()) {
            scheduleEarlyReplies(deadlines, reply);
        }
        pendingChanges++;
        confirm(
                new ChangeAttempt(changeId, draft, receivedMs, receivedMs + timeoutMillis, (attempt, result) -> {
                    pendingChanges--;
                    log(attempt, result);
                    reply.send(result);
                }),
                timeoutMillis);
    }

    private void scheduleEarlyReplies(final ChangeDeadlines deadlines, final CallerReply reply) {
        clock.after(
                deadlines.redirectAfterMillis(),
                () -> feedClient.nearestVoter().ifPresent(voter -> reply.send(new ChangeResult.Pending(voter))));
        clock.after(deadlines.replyAfterMillis(), () -> reply.send(new ChangeResult.Pending("")));
    }

    private void log(final ChangeAttempt attempt, final ChangeResult result) {
        LOG.atInfo().log(
                "event=change_answered node=%s changeId=%s result=%s waitedMs=%s confirmedAfterMs=%s proposals=%s",
                host.name(),
                attempt.changeId(),
                result,
                attempt.waitedMs(clock.nowMs()),
                attempt.confirmedAfterMs(),
                attempt.proposals());
    }

    /**
     * Submits a change that came without an id, so that its repetition can't be distinguished from a new request. While a request
     * waited at a node that was paused or partitioned, it may have been repeated elsewhere and undone since; so only a node
     * whose freshness lease is valid on arrival takes it.
     *
     * @param changeId a new id that no other request has
     */
    public void submitWithoutId(
            final String changeId,
            final ChangeDraft draft,
            final ChangeDeadlines deadlines,
            final Consumer<Reply> callback) {
        if (feedClient.isFresh()) {
            submit(changeId, draft, deadlines, callback);
        } else {
            callback.accept(new ChangeResult.NotReady().toReply(changeId, appliedVersion()));
        }
    }

    /** Returns the address of the voter at which a reply to a submitted change asks its caller to request the same again, if any. */
    public static Optional<String> redirectOf(final Reply reply) {
        return Optional.ofNullable(reply.fields())
                .map(fields -> fields.get(ChangeResult.VOTER_FIELD))
                .map(JsonNode::asText);
    }

    /** Reads the newest configuration, confirmed after the call; empty if it can't be confirmed in time. */
    public void readNewest(final long timeoutMillis, final Consumer<Optional<Configuration>> callback) {
        feedClient
                .lease()
                .awaitConfirmation(
                        timeoutMillis,
                        confirmed -> callback.accept(
                                confirmed && isOfCurrentGeneration()
                                        ? Optional.of(configurationStore.configuration())
                                        : Optional.empty()));
    }

    /**
     * The configuration store moved: a proposal for a version that is applied here need not wait for its own end. Called
     * as an event of its own, after the change that moved it was dealt with.
     */
    public void onConfigurationApplied() {
        final long applied = appliedVersion();
        for (final ChangeAttempt.Proposal proposal : List.copyOf(proposals)) {
            if (proposal.version() <= applied && proposals.remove(proposal)) {
                final ChangeAttempt attempt = proposal.attempt();
                final Long committed = configurationStore.versionOf(attempt.changeId());
                if (committed != null) {
                    attempt.complete(new ChangeResult.Committed(committed));
                } else {
                    onSuperseded(attempt);
                }
            }
        }
    }

    private void confirm(final ChangeAttempt attempt, final long timeoutMillis) {
        attempt.confirm();
        feedClient.lease().awaitConfirmation(timeoutMillis, confirmed -> onConfirmation(attempt, confirmed));
    }

    private void onConfirmation(final ChangeAttempt attempt, final boolean confirmed) {
        if (!confirmed || !isOfCurrentGeneration()) {
            attempt.complete(attempt.timeoutResult());
            return;
        }
        attempt.onConfirmed(clock.nowMs());
        final Long committed = configurationStore.versionOf(attempt.changeId());
        if (committed != null) {
            attempt.complete(new ChangeResult.Committed(committed));
            return;
        }
        final ChangeDraft.Drafted drafted = draft(attempt);
        if (drafted instanceof ChangeDraft.Drafted.Unchanged) {
            attempt.complete(new ChangeResult.Committed(appliedVersion()));
        } else if (drafted instanceof ChangeDraft.Drafted.StaleBase) {
            attempt.complete(new ChangeResult.StaleBase());
        } else if (drafted instanceof ChangeDraft.Drafted.NotFound) {
            attempt.complete(new ChangeResult.NotFound());
        } else if (drafted instanceof ChangeDraft.Drafted.Rejected rejected) {
            attempt.complete(
                    new ChangeResult.Invalid(List.of(new ValidationError(rejected.pointer(), rejected.reason()))));
        } else if (drafted instanceof ChangeDraft.Drafted.Write write) {
            final ConfigurationChange change = change(attempt, write);
            final List<ValidationError> errors = validate(change);
            if (errors.isEmpty()) {
                propose(attempt, change);
            } else {
                attempt.complete(new ChangeResult.Invalid(errors));
            }
        }
    }

    /**
     * Another change committed first. What still applies on top of it is proposed at once, since that commits only if
     * nothing newer exists; any other end is judged by a confirmed version, never by the one that the attempt lost against.
     */
    private void onSuperseded(final ChangeAttempt attempt) {
        final long remainingMs = attempt.remainingMs(clock.nowMs());
        if (remainingMs <= 0) {
            attempt.complete(attempt.timeoutResult());
            return;
        }
        if (isOfCurrentGeneration()
                && configurationStore.versionOf(attempt.changeId()) == null
                && draft(attempt) instanceof ChangeDraft.Drafted.Write write) {
            final ConfigurationChange change = change(attempt, write);
            if (validate(change).isEmpty()) {
                propose(attempt, change);
                return;
            }
        }
        confirm(attempt, remainingMs);
    }

    private ChangeDraft.Drafted draft(final ChangeAttempt attempt) {
        return attempt.draft().draftOn(configurationStore.configuration().tree());
    }

    private ConfigurationChange change(final ChangeAttempt attempt, final ChangeDraft.Drafted.Write write) {
        return new ConfigurationChange(attempt.changeId(), write.kind(), encode(write.json()), host.fleetMs());
    }

    private List<ValidationError> validate(final ConfigurationChange change) {
        final JsonNode after = configurationStore.preview(change);
        final List<ValidationError> errors =
                format.check(after, configurationStore.configuration().tree());
        if (isTooLarge(change, after)) {
            errors.add(new ValidationError("", "larger than policyMaxBytes"));
        }
        return errors;
    }

    /** A merge patch enlarges the configuration by no more than its own size, so all is encoded only near the bound. */
    private boolean isTooLarge(final ConfigurationChange change, final JsonNode after) {
        final long before =
                change.kind() == ConfigurationChange.Kind.PUT ? 0 : configurationStore.sizeUpperBoundBytes();
        return before + change.json().length > limits.configurationBytesMax()
                && encode(after).length > limits.configurationBytesMax();
    }

    private void propose(final ChangeAttempt attempt, final ConfigurationChange change) {
        final long timeoutMillis = Math.min(limits.proposalTimeoutMs(), attempt.remainingMs(clock.nowMs()));
        final ChangeAttempt.Proposal proposal = attempt.propose(appliedVersion() + 1, change);
        final byte[] encoded = MessageCodec.encodeRecord(change);
        proposals.add(proposal);
        proposer.propose(
                ConfigurationKeys.keyOf(proposal.version()),
                timeoutMillis,
                currentValue -> edit(proposal, encoded, currentValue),
                outcome -> onOutcome(proposal, outcome));
    }

    /** Writes the next version if its register is empty, and completes the write of this same change. */
    private RegisterEdit edit(final ChangeAttempt.Proposal proposal, final byte[] encoded, final byte[] currentValue) {
        if (currentValue == null) {
            return proposal.version() == appliedVersion() + 1 ? new RegisterEdit.Set(encoded) : RegisterEdit.LEAVE;
        }
        return isSameChange(currentValue, proposal) ? new RegisterEdit.Set(currentValue) : RegisterEdit.LEAVE;
    }

    /** A chosen value is applied and announced even if the attempt learned its result another way before. */
    private void onOutcome(final ChangeAttempt.Proposal proposal, final ProposalOutcome outcome) {
        final byte[] chosen = outcome instanceof ProposalOutcome.Committed done ? done.value() : null;
        if (chosen != null) {
            onChosen(proposal, chosen);
        }
        if (!proposals.remove(proposal)) {
            return;
        }
        final ChangeAttempt attempt = proposal.attempt();
        if (chosen != null && isSameChange(chosen, proposal)) {
            attempt.complete(new ChangeResult.Committed(proposal.version()));
        } else if (outcome instanceof ProposalOutcome.Indeterminate) {
            attempt.onUndecidedProposal();
            confirmAgain(attempt);
        } else if (outcome instanceof ProposalOutcome.NotCommitted failed
                && failed.reason() == ProposalOutcome.Reason.NO_MAJORITY_IN_TIME) {
            confirmAgain(attempt);
        } else if (outcome instanceof ProposalOutcome.NotCommitted) {
            attempt.complete(attempt.timeoutResult());
        } else {
            onSuperseded(attempt);
        }
    }

    /** Goes on with a change whose proposal ran out of its time before the change did. */
    private void confirmAgain(final ChangeAttempt attempt) {
        final long remainingMs = attempt.remainingMs(clock.nowMs());
        if (remainingMs > 0) {
            confirm(attempt, remainingMs);
        } else {
            attempt.complete(attempt.timeoutResult());
        }
    }

    private void onChosen(final ChangeAttempt.Proposal proposal, final byte[] chosen) {
        feedClient.applyChosen(proposal.version(), chosen);
        host.onCommitted(proposal.version());
        LOG.atInfo().log(
                "event=change_decided node=%s version=%s changeId=%s committed=%s",
                host.name(), proposal.version(), proposal.change().changeId(), isSameChange(chosen, proposal));
    }

    private static boolean isSameChange(final byte[] encoded, final ChangeAttempt.Proposal proposal) {
        return MessageCodec.decodeRecord(encoded, ConfigurationChange.class)
                .changeId()
                .equals(proposal.change().changeId());
    }

    /** Whether this node knows the voters and has applied their generation's first version. */
    private boolean isOfCurrentGeneration() {
        return proposer.voterSet() != null
                && appliedVersion() >= proposer.voterSet().firstNumber();
    }

    private long appliedVersion() {
        return configurationStore.configuration().version();
    }

    private static byte[] encode(final JsonNode json) {
        try {
            return ConfigurationStore.JSON.writeValueAsBytes(json);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can't be encoded", e);
        }
    }
}
