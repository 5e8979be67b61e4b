package spokestall;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import spokestall.ballot.BallotNote;
import spokestall.ballot.Council;
import spokestall.ballot.CouncilNote;
import spokestall.ballot.FormNote;
import spokestall.ballot.Formation;
import spokestall.ballot.Founder;
import spokestall.ballot.Handover;
import spokestall.ballot.Proposer;
import spokestall.ballot.Remains;
import spokestall.ballot.Voter;
import spokestall.ballot.Voters;
import spokestall.policy.Book;
import spokestall.wire.Codec;

/**
 * Who votes: the first table of voters, its changes, and what this node gives to a new generation. An edge has no voter and
 * no formation; it follows the table, and as a seed it votes on the first one.
 */
final class Membership {
    private final NodeContext context;
    private final Proposer proposer;
    private final Book book;
    private final Voter voter;
    private final LongSupplier tokenSeen;
    private final Council council;
    private final Founder founder;
    private final Formation formation;
    private final Handover handover;

    /** The storage is null on an edge; tokenSeen is the highest fencing token that was stored here. */
    Membership(
            final NodeContext context,
            final Neighbours neighbours,
            final Proposer proposer,
            final Book book,
            final CoreStorage storage,
            final Losses losses,
            final LongSupplier tokenSeen) {
        this.context = context;
        this.proposer = proposer;
        this.book = book;
        this.voter = storage == null ? null : storage.voter;
        this.tokenSeen = tokenSeen;
        final boolean first = isFirstLife();
        this.council = new Council(
                context.address,
                context.settings().seeds(),
                first,
                context.post,
                proposer::voters,
                storage == null ? Runnable::run : storage::mark);
        this.founder = storage != null && first ? founder() : null;
        this.formation = storage == null ? null : formation(neighbours, losses);
        this.handover = storage == null ? null : handover();
    }

    /** Whether this life was told that it is the fleet's first, and its disk doesn't say otherwise. */
    private boolean isFirstLife() {
        return context.settings().ms("cores") == 0
                && context.settings().ms("bootstrap") == 1
                && (voter == null || voter.openedBlank());
    }

    private Founder founder() {
        return new Founder(
                context.name,
                context.address,
                context.proposerId(),
                context.settings().seeds(),
                context.post,
                context.clock,
                context.paces().founder(),
                seats -> new Merge(context.fleet).merge(0, List.of(remains()), seats));
    }

    private Formation formation(final Neighbours neighbours, final Losses losses) {
        return new Formation(
                context.name,
                context.address,
                context.proposerId(),
                voter,
                proposer,
                context.post,
                context.clock,
                context.paces().formation(),
                new Merge(context.fleet),
                this::remains,
                neighbours::coreAndEdgeAddresses,
                neighbours::otherCoreAddresses,
                founder,
                context::freshDiskId,
                context.fleet::settled,
                losses);
    }

    private Handover handover() {
        return new Handover(
                context.name,
                context.address,
                voter,
                context.post,
                context.clock,
                context.paces().handover());
    }

    /** Goes by the table that this core's disk has. */
    void open() {
        if (voter.voters() != null) {
            proposer.adopt(voter.voters());
        }
    }

    void tick() {
        formation.tick();
    }

    /** Whether enough others were heard to know that this disk is not an older state of itself. */
    boolean checked() {
        return formation.checked();
    }

    /** Goes by a table, if it is newer than the one here. */
    void adopt(final Voters table) {
        if (formation == null) {
            proposer.adopt(table);
        } else {
            formation.adopt(table);
        }
    }

    void hear(final BallotNote message) {
        if (message instanceof BallotNote.Table table) {
            adopt(table.voters());
        } else if (message instanceof BallotNote.HoldBack back) {
            if (handover != null) {
                handover.hear(back);
            }
        } else if (message instanceof BallotNote.Promise || message instanceof BallotNote.Accepted) {
            proposer.hear(message);
        } else if (voter != null) {
            voter.hear(message, context.address);
        }
    }

    /** Sees that a majority without this core holds what it accepted; done is run when it does, or the wait is over. */
    void handOver(final Runnable done) {
        handover.begin(done);
    }

    void hear(final CouncilNote message) {
        council.hear(message);
        if (founder != null) {
            founder.hear(message);
        }
    }

    void hear(final FormNote message) {
        if (message instanceof FormNote.RemainsAsk ask) {
            context.post.send(ask.from(), new FormNote.RemainsBack(remains()));
        } else if (formation != null) {
            formation.hear(message);
        } else if (message instanceof FormNote.Standing standing) {
            hear(standing);
        }
    }

    /** An edge and a core tell each other of the newer table. */
    private void hear(final FormNote.Standing standing) {
        if (standing.table() != null && standing.table().newerThan(proposer.voters())) {
            proposer.adopt(standing.table());
        } else if (standing.lacks(proposer.voters())) {
            context.post.send(standing.address(), new BallotNote.Table(proposer.voters()));
        }
    }

    /** What this node has for a new generation. */
    private Remains remains() {
        final List<BallotNote.Entry> registers = new ArrayList<>();
        final boolean hasState = voter != null && voter.keepsState();
        if (hasState) {
            voter.registers().forEach((key, register) -> registers.add(new BallotNote.Entry(key, register)));
        }
        final Voters table = proposer.voters();
        final long version = book.policy().version();
        return new Remains(
                context.name,
                table == null ? 0 : table.generation(),
                version,
                version == 0 ? null : Codec.bytes(book.snapshot()),
                tokenSeen.getAsLong(),
                hasState,
                registers);
    }
}
