package spokestall.proxy;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spokestall.api.ResultCode;
import spokestall.configuration.KeyHash;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;

/** The claim of one run-once ask in its register: made before anything is sent, ended when it is known how that went. */
final class ClaimManager {
    /** What came of claiming. */
    sealed interface Claimed {
        /** The claim is this ask's own; it may be sent. */
        record Mine(IdempotencyClaim claim) implements Claimed {}

        /** The ask ran before. */
        record Ran(IdempotencyClaim claim) implements Claimed {}

        /** It may not be sent, and this is why. */
        record Not(ResultCode why) implements Claimed {}
    }

    private final ProxyContext parts;
    private final AdmissionController.Timing timing;
    private final String key;

    ClaimManager(final ProxyContext parts, final AdmissionController.Timing timing, final String key) {
        this.parts = parts;
        this.timing = timing;
        this.key = key;
    }

    String key() {
        return key;
    }

    private static IdempotencyClaim read(final byte[] had) {
        return had == null ? null : MessageCodec.decodeRecord(had, IdempotencyClaim.class);
    }

    void claim(
            final RequestTicket ticket,
            final byte[] body,
            final long waitMs,
            final BooleanSupplier may,
            final Consumer<Claimed> done) {
        final String digest = KeyHash.hex(body);
        final IdempotencyClaim mine = new IdempotencyClaim(
                parts.self().name() + "/" + Long.toHexString(parts.random().nextLong()),
                digest,
                ticket.issuedMs(),
                parts.fleet().nowMs(),
                IdempotencyClaim.State.OPEN,
                0,
                "",
                "");
        final byte[] value = MessageCodec.encodeRecord(mine);
        parts.proposer()
                .change(
                        key,
                        Math.min(timing.claimWaitMs(), waitMs),
                        had -> {
                            final IdempotencyClaim now = read(had);
                            if (now != null && now.claimId().equals(mine.claimId())) {
                                return new RegisterEdit.Set(had);
                            }
                            final boolean free = now == null
                                    || now.state() == IdempotencyClaim.State.NOT_RUN
                                            && now.digest().equals(digest);
                            return free && !old(ticket) && may.getAsBoolean()
                                    ? new RegisterEdit.Set(value)
                                    : RegisterEdit.LEAVE;
                        },
                        outcome -> done.accept(claimed(outcome, mine, ticket)));
    }

    /** Asked anew in each round: a generation may begin between two of them. */
    private boolean old(final RequestTicket ticket) {
        final Proposer proposer = parts.proposer();
        final long ageMs = parts.fleet().nowMs() - ticket.issuedMs();
        return proposer.voterSet() == null
                || ticket.generation() != proposer.voterSet().generation()
                || ageMs > timing.claimKeepMs()
                || -ageMs > timing.ticketAheadMs();
    }

    private Claimed claimed(final ProposalOutcome outcome, final IdempotencyClaim mine, final RequestTicket ticket) {
        if (!(outcome instanceof ProposalOutcome.Done done)) {
            final boolean full =
                    outcome instanceof ProposalOutcome.NotDone n && n.why().equals(Proposer.DENIED);
            return new Claimed.Not(
                    outcome instanceof ProposalOutcome.Gone
                            ? ResultCode.TICKET_OLD
                            : full ? ResultCode.CLAIMS_FULL : ResultCode.UNCLEAR);
        }
        final IdempotencyClaim now = read(done.value());
        if (now != null && now.claimId().equals(mine.claimId())) {
            return new Claimed.Mine(now);
        }
        if (now == null || now.state() == IdempotencyClaim.State.NOT_RUN) {
            return new Claimed.Not(old(ticket) ? ResultCode.TICKET_OLD : ResultCode.UNCLEAR);
        }
        if (!now.digest().equals(mine.digest())) {
            return new Claimed.Not(ResultCode.CONFLICT);
        }
        return now.state() == IdempotencyClaim.State.OPEN ? new Claimed.Not(ResultCode.CLAIMED) : new Claimed.Ran(now);
    }

    /** Nothing was sent under the claim: says so in the register; done hears whether that is proven. */
    void voided(final IdempotencyClaim mine, final Consumer<Boolean> done) {
        end(mine, mine.ended(IdempotencyClaim.State.NOT_RUN, 0, "", ""), done);
    }

    /** It ran, and this is how. */
    void ran(final IdempotencyClaim mine, final int status, final String answerDigest, final String instance) {
        end(mine, mine.ended(IdempotencyClaim.State.RAN, status, answerDigest, instance), proven -> {});
    }

    private void end(final IdempotencyClaim mine, final IdempotencyClaim ended, final Consumer<Boolean> done) {
        parts.proposer()
                .change(
                        key,
                        timing.claimWaitMs(),
                        had -> {
                            final IdempotencyClaim now = read(had);
                            final boolean own = now != null
                                    && now.claimId().equals(mine.claimId())
                                    && now.state() == IdempotencyClaim.State.OPEN;
                            return own ? new RegisterEdit.Set(MessageCodec.encodeRecord(ended)) : RegisterEdit.LEAVE;
                        },
                        outcome -> done.accept(outcome instanceof ProposalOutcome.Done d && d.wrote()));
    }
}
