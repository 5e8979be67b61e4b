package spokestall.configuration.change;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
 * Turns operators' requests into committed changes: each request is drafted on top of the newest version, validated as a whole,
 * and proposed as the next version.
 *
 * <p>The coordinator evaluates a request only against a configuration that was confirmed to be the newest after the request
 * arrived. It therefore never answers that a request is stale, invalid, not found or already done because this node lags
 * behind. If another change commits first, the coordinator drafts the request again on top of that version, until the request
 * commits, no longer applies, or reaches its deadline. A request whose change id is among the retained committed changes is
 * acknowledged with the version that it created and not applied again. A request without a change id has a version as its
 * precondition instead: it is applied only if nothing that it concerns changed after that version.
 *
 * <p>Not thread-safe; all calls and callbacks are on the node's event loop. Each callback receives exactly one reply.
 */
public final class ChangeCoordinator {
    /**
     * The limits of a change.
     *
     * @param proposalTimeoutMs the maximum duration of one proposal, in milliseconds
     * @param configurationBytesMax the maximum size of the resulting configuration as JSON, in bytes
     */
    public record Limits(long proposalTimeoutMs, int configurationBytesMax) {}

    /**
     * The replicated state that the coordinator reads and changes.
     *
     * @param configurationStore the applied configuration and the retained change ids
     * @param proposer proposes versions
     * @param feedClient confirms that the applied version is the newest, and applies versions that this node commits
     */
    public record Replication(ConfigurationStore configurationStore, Proposer proposer, FeedClient feedClient) {}

    /** The node that the coordinator runs on. */
    public interface Host {
        /** Returns the node's name for log events. */
        String name();

        /** Returns the fleet time to record in the next change, in milliseconds; 0 while it is unknown. */
        long fleetMs();

        /** Called when a proposal of this node learns that a version is chosen. It is applied here if it is the next one. */
        void onCommitted(long version);
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The number of pending changes from which a new change is abandoned as soon as its caller must be answered. */
    private static final int PENDING_CHANGES_MAX = 64;

    private final Host host;
    private final ConfigurationStore configurationStore;
    private final Proposer proposer;
    private final FeedClient feedClient;
    private final ConfigurationFormat format;
    private final Clock clock;
    private final Limits limits;
    /** The proposals whose outcome their attempts still wait for, in start order. */
    private final List<ChangeAttempt.Proposal> proposals = new ArrayList<>();

    /** The callers that wait for each pending change that has a precondition, by change id. */
    private final Map<String, List<CallerReply>> callersByChangeId = new HashMap<>();

    private int pendingChanges;

    /** Creates a coordinator with no pending changes. */
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

    /** Submits a change that applies only to version {@code baseVersion}; on top of any other version it is stale. */
    public void submitForBaseVersion(
            final long baseVersion, final String changeId, final ChangeDraft draft, final Consumer<Reply> callback) {
        submit(
                changeId,
                tree -> appliedVersion() == baseVersion ? draft.draftOn(tree) : new ChangeDraft.Drafted.StaleBase(),
                ChangeDeadlines.of(limits.proposalTimeoutMs()),
                callback);
    }

    /** Submits a change with the operator's change id. Repeating a committed request acknowledges it again. */
    public void submit(
            final String changeId,
            final ChangeDraft draft,
            final ChangeDeadlines deadlines,
            final Consumer<Reply> callback) {
        final CallerReply reply = new CallerReply(changeId, this::appliedVersion, callback);
        scheduleEarlyReplies(deadlines, reply);
        final long timeoutMillis = timeoutMillis(deadlines);
        confirm(attempt(changeId, OptionalLong.empty(), draft, timeoutMillis, reply::send), timeoutMillis);
    }

    /**
     * Submits a change with a precondition. A caller that repeats a change which is still pending here waits for its result and
     * doesn't start another attempt. The first caller is redirected if the change takes long, so that it waits once more.
     */
    private void submitUnderPrecondition(
            final String changeId,
            final long unchangedSince,
            final ChangeDraft draft,
            final ChangeDeadlines deadlines,
            final Consumer<Reply> callback) {
        final CallerReply reply = new CallerReply(changeId, this::appliedVersion, callback);
        scheduleReply(deadlines.replyAfterMillis(), reply);
        final List<CallerReply> waiting = callersByChangeId.get(changeId);
        if (waiting != null) {
            waiting.add(reply);
            return;
        }
        clock.after(deadlines.redirectAfterMillis(), () -> reply.send(pending(OptionalLong.of(unchangedSince))));
        callersByChangeId.put(changeId, new ArrayList<>(List.of(reply)));
        final ChangeAttempt attempt = attempt(
                changeId,
                OptionalLong.of(unchangedSince),
                draft,
                timeoutMillis(deadlines),
                result -> callersByChangeId.remove(changeId).forEach(caller -> caller.send(result)));
        attempt.startConfirming();
        proposeOrAwaitConfirmation(attempt);
    }

    /** Returns when a new change is abandoned, in milliseconds from now. */
    private long timeoutMillis(final ChangeDeadlines deadlines) {
        final boolean overloaded = pendingChanges >= PENDING_CHANGES_MAX;
        return overloaded ? deadlines.replyAfterMillis() : deadlines.abandonAfterMillis();
    }

    private ChangeAttempt attempt(
            final String changeId,
            final OptionalLong unchangedSince,
            final ChangeDraft draft,
            final long timeoutMillis,
            final Consumer<ChangeResult> onResult) {
        pendingChanges++;
        final long receivedMs = clock.nowMs();
        return new ChangeAttempt(
                changeId, unchangedSince, draft, receivedMs, receivedMs + timeoutMillis, (attempt, result) -> {
                    pendingChanges--;
                    log(attempt, result);
                    onResult.accept(result);
                });
    }

    private void scheduleEarlyReplies(final ChangeDeadlines deadlines, final CallerReply reply) {
        if (deadlines.mayReplyEarly()) {
            clock.after(
                    deadlines.redirectAfterMillis(),
                    () -> feedClient.nearestVoter().ifPresent(voter -> reply.send(pending(OptionalLong.empty()))));
            scheduleReply(deadlines.replyAfterMillis(), reply);
        }
    }

    private void scheduleReply(final long afterMillis, final CallerReply reply) {
        clock.after(afterMillis, () -> reply.send(new ChangeResult.Pending("", OptionalLong.empty())));
    }

    /** Returns the result that redirects the caller to the nearest voter, or to this node if it is a voter. */
    private ChangeResult pending(final OptionalLong unchangedSince) {
        return new ChangeResult.Pending(feedClient.nearestVoter().orElse(""), unchangedSince);
    }

    private void log(final ChangeAttempt attempt, final ChangeResult result) {
        LOG.atInfo().log(
                "event=change_answered node=%s changeId=%s unchangedSince=%s result=%s waitedMs=%s confirmedAfterMs=%s"
                        + " proposals=%s",
                host.name(),
                attempt.changeId(),
                attempt.unchangedSince().isPresent() ? attempt.unchangedSince().getAsLong() : "none",
                result,
                attempt.waitedMs(clock.nowMs()),
                attempt.confirmedAfterMs(),
                attempt.proposals());
    }

    /**
     * Submits a change without an operator's change id, whose repetition can't be distinguished from a new request. The request
     * may have been delayed for any time at a paused or slow node or in the network, and its caller may have repeated it elsewhere
     * and undone it since. Therefore it is applied only under a precondition: that no change which conflicts with it committed
     * after the version {@code unchangedSince}.
     *
     * <p>A request without a precondition changes nothing. Its reply names the newest version, confirmed after the request arrived, as
     * the precondition under which the caller repeats the request. Only a caller that still waits can repeat the request, and
     * whatever it orders after it stopped waiting commits after that version.
     *
     * <p>An acknowledged request is a change that committed after its precondition, even if the configuration already was as
     * requested. So it also takes precedence over a conflicting request that was submitted before it and is still in progress.
     *
     * @param changeId an id that all requests for this change under this precondition have, and no others
     * @param unchangedSince the precondition, from the reply to the request without one; empty to ask for one
     */
    public void submitWithoutId(
            final String changeId,
            final OptionalLong unchangedSince,
            final ChangeDraft draft,
            final ChangeDeadlines deadlines,
            final Consumer<Reply> callback) {
        if (unchangedSince.isPresent()) {
            submitUnderPrecondition(changeId, unchangedSince.getAsLong(), draft, deadlines, callback);
        } else if (feedClient.isFresh()) {
            requirePrecondition(changeId, deadlines, callback);
        } else {
            callback.accept(new ChangeResult.NotReady().toReply(changeId, appliedVersion()));
        }
    }

    private void requirePrecondition(
            final String changeId, final ChangeDeadlines deadlines, final Consumer<Reply> callback) {
        final CallerReply reply = new CallerReply(changeId, this::appliedVersion, callback);
        scheduleEarlyReplies(deadlines, reply);
        readNewest(
                deadlines.replyAfterMillis(),
                newest -> reply.send(
                        newest.isPresent()
                                ? new ChangeResult.PreconditionRequired(
                                        newest.get().version())
                                : new ChangeResult.NotReady()));
    }

    /** Returns the precondition with which a reply asks the caller to repeat the request, if any. */
    public static OptionalLong requiredPrecondition(final Reply reply) {
        return Optional.ofNullable(reply.fields())
                .map(fields -> fields.get(ChangeResult.UNCHANGED_SINCE_FIELD))
                .map(version -> OptionalLong.of(version.asLong()))
                .orElse(OptionalLong.empty());
    }

    /** Returns the address of the voter to which a reply redirects the caller to repeat the change, if any. */
    public static Optional<String> redirectAddress(final Reply reply) {
        return Optional.ofNullable(reply.fields())
                .map(fields -> fields.get(ChangeResult.VOTER_FIELD))
                .map(JsonNode::asText);
    }

    /**
     * Reads the newest configuration, confirmed by a round sent after the call.
     *
     * @param callback receives the configuration, or empty if it can't be confirmed before the timeout
     */
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
     * Completes or retries the attempts whose proposed version the configuration store has applied, without waiting for the
     * outcome of their own proposals. Must be called as a separate event, after the event that applied the version.
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
        attempt.startConfirming();
        awaitConfirmation(attempt, timeoutMillis);
    }

    private void awaitConfirmation(final ChangeAttempt attempt, final long timeoutMillis) {
        feedClient.lease().awaitConfirmation(timeoutMillis, confirmed -> onConfirmation(attempt, confirmed));
    }

    private void onConfirmation(final ChangeAttempt attempt, final boolean confirmed) {
        if (!confirmed || !isOfCurrentGeneration()) {
            attempt.complete(attempt.timeoutResult());
            return;
        }
        attempt.onConfirmed(clock.nowMs());
        switch (relationSincePrecondition(attempt)) {
            case SAME -> attempt.complete(new ChangeResult.Committed(appliedVersion()));
            case CONFLICTING -> attempt.complete(new ChangeResult.PreconditionRequired(appliedVersion()));
            case UNRELATED -> acknowledgeOrPropose(attempt);
        }
    }

    private void acknowledgeOrPropose(final ChangeAttempt attempt) {
        final Long committed = configurationStore.versionOf(attempt.changeId());
        if (committed != null) {
            attempt.complete(new ChangeResult.Committed(committed));
        } else {
            draftAndPropose(attempt);
        }
    }

    private void draftAndPropose(final ChangeAttempt attempt) {
        final ChangeDraft.Drafted drafted = draft(attempt);
        if (drafted instanceof ChangeDraft.Drafted.StaleBase) {
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

    /** Handles another change committing first. */
    private void onSuperseded(final ChangeAttempt attempt) {
        final long remainingMs = attempt.remainingMs(clock.nowMs());
        if (remainingMs <= 0) {
            attempt.complete(attempt.timeoutResult());
        } else if (!proposeIfApplicable(attempt)) {
            confirm(attempt, remainingMs);
        }
    }

    /** Starts an attempt with a precondition; the version that it names was confirmed before the caller sent the request. */
    private void proposeOrAwaitConfirmation(final ChangeAttempt attempt) {
        if (appliedVersion() < attempt.unchangedSince().orElseThrow() || !proposeIfApplicable(attempt)) {
            awaitConfirmation(attempt, attempt.remainingMs(clock.nowMs()));
        }
    }

    /**
     * Proposes the attempt's change if it applies on top of the applied version, without a confirmation that this is the newest
     * one, because the proposal commits only if no newer version exists. Any other result requires a confirmed version: the
     * applied version may not be the newest.
     */
    private boolean proposeIfApplicable(final ChangeAttempt attempt) {
        if (isOfCurrentGeneration()
                && configurationStore.versionOf(attempt.changeId()) == null
                && relationSincePrecondition(attempt) == ChangeDraft.Relation.UNRELATED
                && draft(attempt) instanceof ChangeDraft.Drafted.Write write) {
            final ConfigurationChange change = change(attempt, write);
            if (validate(change).isEmpty()) {
                propose(attempt, change);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how the changes after the attempt's precondition relate to it: the newest one that isn't unrelated decides. Changes
     * that are no longer retained may conflict.
     */
    private ChangeDraft.Relation relationSincePrecondition(final ChangeAttempt attempt) {
        if (attempt.unchangedSince().isEmpty()) {
            return ChangeDraft.Relation.UNRELATED;
        }
        final Map<Long, ConfigurationChange> since =
                configurationStore.changesAfter(attempt.unchangedSince().getAsLong());
        if (since == null) {
            return ChangeDraft.Relation.CONFLICTING;
        }
        return since.values().stream()
                .map(attempt.draft()::relationTo)
                .filter(relation -> relation != ChangeDraft.Relation.UNRELATED)
                .reduce(ChangeDraft.Relation.UNRELATED, (older, newer) -> newer);
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

    /**
     * Returns whether the configuration exceeds the size limit after the change. A merge patch enlarges the configuration by at
     * most its own size, so the whole configuration is encoded only if this upper bound exceeds the limit.
     */
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

    /**
     * Sets the register of the next version if it is empty, or completes an earlier write of the same change. Otherwise leaves the
     * register unchanged.
     */
    private RegisterEdit edit(final ChangeAttempt.Proposal proposal, final byte[] encoded, final byte[] currentValue) {
        if (currentValue == null) {
            return proposal.version() == appliedVersion() + 1 ? new RegisterEdit.Set(encoded) : RegisterEdit.LEAVE;
        }
        return isSameChange(currentValue, proposal) ? new RegisterEdit.Set(currentValue) : RegisterEdit.LEAVE;
    }

    /** Applies and announces a chosen value, even if the attempt already learned its result in another way. */
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

    /** Continues an attempt whose proposal timed out before the attempt's deadline. */
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

    /** Returns whether this node knows the voter set and has applied the first version of its generation. */
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
            throw new IllegalStateException("failed to encode a JSON tree", e);
        }
    }
}
