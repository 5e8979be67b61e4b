package spokestall.edge;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spokestall.ballot.Edit;
import spokestall.ballot.Outcome;
import spokestall.ballot.Proposer;
import spokestall.policy.KeyHash;
import spokestall.rpc.Result;
import spokestall.wire.Codec;

/** The claim of one run-once ask in its register: made before anything is sent, ended when it is known how that went. */
final class ClaimDesk {
    /** What came of claiming. */
    sealed interface Claimed {
        /** The claim is this ask's own; it may be sent. */
        record Mine(Claim claim) implements Claimed {}

        /** The ask ran before. */
        record Ran(Claim claim) implements Claimed {}

        /** It may not be sent, and this is why. */
        record Not(Result why) implements Claimed {}
    }

    private final Parts parts;
    private final Edge.Pace pace;
    private final String key;

    ClaimDesk(final Parts parts, final Edge.Pace pace, final String key) {
        this.parts = parts;
        this.pace = pace;
        this.key = key;
    }

    String key() {
        return key;
    }

    private static Claim read(final byte[] had) {
        return had == null ? null : Codec.record(had, Claim.class);
    }

    void claim(
            final Ticket ticket,
            final byte[] body,
            final long waitMs,
            final BooleanSupplier may,
            final Consumer<Claimed> done) {
        final String digest = KeyHash.hex(body);
        final Claim mine = new Claim(
                parts.self().name() + "/" + Long.toHexString(parts.random().nextLong()),
                digest,
                ticket.issuedMs(),
                parts.fleet().nowMs(),
                Claim.State.OPEN,
                0,
                "",
                "");
        final byte[] value = Codec.bytes(mine);
        parts.proposer()
                .change(
                        key,
                        Math.min(pace.claimWaitMs(), waitMs),
                        had -> {
                            final Claim now = read(had);
                            if (now != null && now.claimId().equals(mine.claimId())) {
                                return new Edit.Set(had);
                            }
                            final boolean free = now == null
                                    || now.state() == Claim.State.NOT_RUN
                                            && now.digest().equals(digest);
                            return free && !old(ticket) && may.getAsBoolean() ? new Edit.Set(value) : Edit.LEAVE;
                        },
                        outcome -> done.accept(claimed(outcome, mine, ticket)));
    }

    /** Asked anew in each round: a generation may begin between two of them. */
    private boolean old(final Ticket ticket) {
        final Proposer proposer = parts.proposer();
        final long ageMs = parts.fleet().nowMs() - ticket.issuedMs();
        return proposer.voters() == null
                || ticket.generation() != proposer.voters().generation()
                || ageMs > pace.claimKeepMs()
                || -ageMs > pace.ticketAheadMs();
    }

    private Claimed claimed(final Outcome outcome, final Claim mine, final Ticket ticket) {
        if (!(outcome instanceof Outcome.Done done)) {
            final boolean full = outcome instanceof Outcome.NotDone n && n.why().equals(Proposer.DENIED);
            return new Claimed.Not(
                    outcome instanceof Outcome.Gone ? Result.TICKET_OLD : full ? Result.CLAIMS_FULL : Result.UNCLEAR);
        }
        final Claim now = read(done.value());
        if (now != null && now.claimId().equals(mine.claimId())) {
            return new Claimed.Mine(now);
        }
        if (now == null || now.state() == Claim.State.NOT_RUN) {
            return new Claimed.Not(old(ticket) ? Result.TICKET_OLD : Result.UNCLEAR);
        }
        if (!now.digest().equals(mine.digest())) {
            return new Claimed.Not(Result.CONFLICT);
        }
        return now.state() == Claim.State.OPEN ? new Claimed.Not(Result.CLAIMED) : new Claimed.Ran(now);
    }

    /** Nothing was sent under the claim: says so in the register; done hears whether that is proven. */
    void voided(final Claim mine, final Consumer<Boolean> done) {
        end(mine, mine.ended(Claim.State.NOT_RUN, 0, "", ""), done);
    }

    /** It ran, and this is how. */
    void ran(final Claim mine, final int status, final String answerDigest, final String instance) {
        end(mine, mine.ended(Claim.State.RAN, status, answerDigest, instance), proven -> {});
    }

    private void end(final Claim mine, final Claim ended, final Consumer<Boolean> done) {
        parts.proposer()
                .change(
                        key,
                        pace.claimWaitMs(),
                        had -> {
                            final Claim now = read(had);
                            final boolean own = now != null
                                    && now.claimId().equals(mine.claimId())
                                    && now.state() == Claim.State.OPEN;
                            return own ? new Edit.Set(Codec.bytes(ended)) : Edit.LEAVE;
                        },
                        outcome -> done.accept(outcome instanceof Outcome.Done d && d.wrote()));
    }
}
