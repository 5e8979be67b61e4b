package spokestall.proxy;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spokestall.api.ResultCode;
import spokestall.configuration.KeyHash;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;

/**
 * Manages the claim of one run-once request in its replicated register ({@link IdempotencyClaim}). A majority of acceptors
 * stores the claim before any byte of the request is sent, and the outcome once it is known. While a claim is open the request
 * may have run, so no other node may send it.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class ClaimManager {
    private final ProxyContext context;
    private final ProxyLimits limits;
    private final String key;

    ClaimManager(final ProxyContext context, final ProxyLimits limits, final String key) {
        this.context = context;
        this.limits = limits;
        this.key = key;
    }

    /** The key of the claim's register. */
    String key() {
        return key;
    }

    private static IdempotencyClaim read(final byte[] stored) {
        return stored == null ? null : MessageCodec.decodeRecord(stored, IdempotencyClaim.class);
    }

    /**
     * Claims the request for this node, unless it has already run, another claim is open, or its ticket has expired.
     *
     * @param waitMs the time-out; {@link ProxyLimits#claimTimeoutMs} applies if it is shorter
     * @param maySend whether the request may still be sent; evaluated in each round of the proposal
     * @param done receives the result, once
     */
    void claim(
            final RequestTicket ticket,
            final byte[] body,
            final long waitMs,
            final BooleanSupplier maySend,
            final Consumer<ClaimResult> done) {
        final String digest = KeyHash.hex(body);
        final IdempotencyClaim ownClaim = openClaim(ticket, digest);
        final byte[] value = MessageCodec.encodeRecord(ownClaim);
        context.proposer()
                .propose(
                        key,
                        Math.min(limits.claimTimeoutMs(), waitMs),
                        stored -> {
                            final IdempotencyClaim current = read(stored);
                            if (current != null && current.claimId().equals(ownClaim.claimId())) {
                                return new RegisterEdit.Set(stored);
                            }
                            final boolean free = current == null
                                    || current.state() == IdempotencyClaim.State.NOT_RUN
                                            && current.digest().equals(digest);
                            return free && !isExpired(ticket) && maySend.getAsBoolean()
                                    ? new RegisterEdit.Set(value)
                                    : RegisterEdit.LEAVE;
                        },
                        outcome -> done.accept(result(outcome, ownClaim, ticket)));
    }

    private IdempotencyClaim openClaim(final RequestTicket ticket, final String digest) {
        return new IdempotencyClaim(
                context.self().name() + "/" + Long.toHexString(context.random().nextLong()),
                digest,
                ticket.issuedMs(),
                context.fleetClock().nowMs(),
                IdempotencyClaim.State.OPEN,
                0,
                "",
                "");
    }

    /** Whether the ticket is no longer valid. Evaluated in each round, because a new generation may begin between two rounds. */
    private boolean isExpired(final RequestTicket ticket) {
        final Proposer proposer = context.proposer();
        final long ageMs = context.fleetClock().nowMs() - ticket.issuedMs();
        return proposer.voterSet() == null
                || ticket.generation() != proposer.voterSet().generation()
                || ageMs > limits.claimRetentionMs()
                || -ageMs > limits.ticketMaxAheadMs();
    }

    private ClaimResult result(
            final ProposalOutcome outcome, final IdempotencyClaim ownClaim, final RequestTicket ticket) {
        if (!(outcome instanceof ProposalOutcome.Committed committed)) {
            final boolean full = outcome instanceof ProposalOutcome.NotCommitted failed
                    && failed.reason() == ProposalOutcome.Reason.REJECTED;
            if (outcome instanceof ProposalOutcome.Pruned) {
                return new ClaimResult.Refused(ResultCode.TICKET_OLD);
            }
            return new ClaimResult.Refused(full ? ResultCode.CLAIMS_FULL : ResultCode.UNCLEAR);
        }
        final IdempotencyClaim current = read(committed.value());
        if (current != null && current.claimId().equals(ownClaim.claimId())) {
            return new ClaimResult.Granted(current);
        }
        if (current == null || current.state() == IdempotencyClaim.State.NOT_RUN) {
            return new ClaimResult.Refused(isExpired(ticket) ? ResultCode.TICKET_OLD : ResultCode.UNCLEAR);
        }
        if (!current.digest().equals(ownClaim.digest())) {
            return new ClaimResult.Refused(ResultCode.CONFLICT);
        }
        return current.state() == IdempotencyClaim.State.OPEN
                ? new ClaimResult.Refused(ResultCode.CLAIMED)
                : new ClaimResult.AlreadyRan(current);
    }

    /** Records that nothing was sent under the claim; {@code done} receives whether a majority has stored this. */
    void releaseUnused(final IdempotencyClaim ownClaim, final Consumer<Boolean> done) {
        recordOutcome(ownClaim, ownClaim.withOutcome(IdempotencyClaim.State.NOT_RUN, 0, "", ""), done);
    }

    /** Records that the request ran, with the status and digest of its response and the instance that sent it. */
    void recordExecuted(
            final IdempotencyClaim ownClaim, final int status, final String responseDigest, final String instance) {
        recordOutcome(
                ownClaim,
                ownClaim.withOutcome(IdempotencyClaim.State.RAN, status, responseDigest, instance),
                proven -> {});
    }

    private void recordOutcome(
            final IdempotencyClaim ownClaim, final IdempotencyClaim ended, final Consumer<Boolean> done) {
        context.proposer()
                .propose(
                        key,
                        limits.claimTimeoutMs(),
                        stored -> {
                            final IdempotencyClaim current = read(stored);
                            final boolean own = current != null
                                    && current.claimId().equals(ownClaim.claimId())
                                    && current.state() == IdempotencyClaim.State.OPEN;
                            return own ? new RegisterEdit.Set(MessageCodec.encodeRecord(ended)) : RegisterEdit.LEAVE;
                        },
                        outcome -> done.accept(
                                outcome instanceof ProposalOutcome.Committed committed && committed.wrote()));
    }
}
