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
 * The claim of one run-once request in its register ({@link IdempotencyClaim}): a majority of acceptors stores it before
 * anything is sent, and its end is recorded once that is known. While a claim is open the request may have run, so nobody
 * else may send it. Not thread-safe; all calls are made on the node's event loop.
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
     * Claims the request for this node, unless it has run, is claimed, or its ticket is too old.
     *
     * @param waitMs how long the claim may take at most
     * @param maySend whether the request may still be sent; asked again in each round of the register's change
     * @param done receives the result, once
     */
    void claim(
            final RequestTicket ticket,
            final byte[] body,
            final long waitMs,
            final BooleanSupplier maySend,
            final Consumer<ClaimResult> done) {
        final String digest = KeyHash.hex(body);
        final IdempotencyClaim mine = openClaim(ticket, digest);
        final byte[] value = MessageCodec.encodeRecord(mine);
        context.proposer()
                .propose(
                        key,
                        Math.min(limits.claimTimeoutMs(), waitMs),
                        stored -> {
                            final IdempotencyClaim now = read(stored);
                            if (now != null && now.claimId().equals(mine.claimId())) {
                                return new RegisterEdit.Set(stored);
                            }
                            final boolean free = now == null
                                    || now.state() == IdempotencyClaim.State.NOT_RUN
                                            && now.digest().equals(digest);
                            return free && !isExpired(ticket) && maySend.getAsBoolean()
                                    ? new RegisterEdit.Set(value)
                                    : RegisterEdit.LEAVE;
                        },
                        outcome -> done.accept(result(outcome, mine, ticket)));
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

    /** Checked again in each round: a generation may begin between two of them. */
    private boolean isExpired(final RequestTicket ticket) {
        final Proposer proposer = context.proposer();
        final long ageMs = context.fleetClock().nowMs() - ticket.issuedMs();
        return proposer.voterSet() == null
                || ticket.generation() != proposer.voterSet().generation()
                || ageMs > limits.claimKeepMs()
                || -ageMs > limits.ticketMaxAheadMs();
    }

    private ClaimResult result(final ProposalOutcome outcome, final IdempotencyClaim mine, final RequestTicket ticket) {
        if (!(outcome instanceof ProposalOutcome.Committed done)) {
            final boolean full =
                    outcome instanceof ProposalOutcome.NotCommitted n && n.reason() == ProposalOutcome.Reason.REJECTED;
            if (outcome instanceof ProposalOutcome.Pruned) {
                return new ClaimResult.Refused(ResultCode.TICKET_OLD);
            }
            return new ClaimResult.Refused(full ? ResultCode.CLAIMS_FULL : ResultCode.UNCLEAR);
        }
        final IdempotencyClaim now = read(done.value());
        if (now != null && now.claimId().equals(mine.claimId())) {
            return new ClaimResult.Granted(now);
        }
        if (now == null || now.state() == IdempotencyClaim.State.NOT_RUN) {
            return new ClaimResult.Refused(isExpired(ticket) ? ResultCode.TICKET_OLD : ResultCode.UNCLEAR);
        }
        if (!now.digest().equals(mine.digest())) {
            return new ClaimResult.Refused(ResultCode.CONFLICT);
        }
        return now.state() == IdempotencyClaim.State.OPEN
                ? new ClaimResult.Refused(ResultCode.CLAIMED)
                : new ClaimResult.AlreadyRan(now);
    }

    /** Records that nothing was sent under the claim; {@code done} receives whether a majority has stored that. */
    void releaseUnused(final IdempotencyClaim mine, final Consumer<Boolean> done) {
        recordOutcome(mine, mine.withOutcome(IdempotencyClaim.State.NOT_RUN, 0, "", ""), done);
    }

    /** Records that the request ran, and with which response. */
    void recordExecuted(
            final IdempotencyClaim mine, final int status, final String answerDigest, final String instance) {
        recordOutcome(mine, mine.withOutcome(IdempotencyClaim.State.RAN, status, answerDigest, instance), proven -> {});
    }

    private void recordOutcome(
            final IdempotencyClaim mine, final IdempotencyClaim ended, final Consumer<Boolean> done) {
        context.proposer()
                .propose(
                        key,
                        limits.claimTimeoutMs(),
                        stored -> {
                            final IdempotencyClaim now = read(stored);
                            final boolean own = now != null
                                    && now.claimId().equals(mine.claimId())
                                    && now.state() == IdempotencyClaim.State.OPEN;
                            return own ? new RegisterEdit.Set(MessageCodec.encodeRecord(ended)) : RegisterEdit.LEAVE;
                        },
                        outcome -> done.accept(outcome instanceof ProposalOutcome.Committed d && d.wrote()));
    }
}
