package spokestall.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Proposer;
import spokestall.consensus.VoterSet;
import spokestall.membership.BootstrapAcceptor;
import spokestall.membership.BootstrapMessage;
import spokestall.membership.BootstrapProposer;
import spokestall.membership.GracefulHandover;
import spokestall.membership.MembershipCoordinator;
import spokestall.membership.MembershipMessage;
import spokestall.membership.SurvivingState;
import spokestall.message.MessageCodec;

/**
 * Who votes: the first table of voters, its changes, and what this node gives to a new generation. An edge has no voter and
 * no formation; it follows the table, and as a seed it votes on the first one.
 */
final class MembershipComponent {
    private final NodeContext context;
    private final Proposer proposer;
    private final ConfigurationStore book;
    private final Acceptor voter;
    private final LongSupplier tokenSeen;
    private final BootstrapAcceptor council;
    private final BootstrapProposer founder;
    private final MembershipCoordinator formation;
    private final GracefulHandover handover;

    /** The storage is null on an edge; tokenSeen is the highest fencing token that was stored here. */
    MembershipComponent(
            final NodeContext context,
            final PeerDirectory neighbours,
            final Proposer proposer,
            final ConfigurationStore book,
            final CoreStorage storage,
            final ToleratedSeatLoss losses,
            final LongSupplier tokenSeen) {
        this.context = context;
        this.proposer = proposer;
        this.book = book;
        this.voter = storage == null ? null : storage.voter;
        this.tokenSeen = tokenSeen;
        final boolean first = isFirstLife();
        this.council = new BootstrapAcceptor(
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

    private BootstrapProposer founder() {
        return new BootstrapProposer(
                context.name,
                context.address,
                context.proposerId(),
                context.settings().seeds(),
                context.post,
                context.clock,
                context.paces().founder(),
                seats -> new GenerationMerger(context.fleet).merge(0, List.of(remains()), seats));
    }

    private MembershipCoordinator formation(final PeerDirectory neighbours, final ToleratedSeatLoss losses) {
        return new MembershipCoordinator(
                context.name,
                context.address,
                context.proposerId(),
                voter,
                proposer,
                context.post,
                context.clock,
                context.paces().formation(),
                new GenerationMerger(context.fleet),
                this::remains,
                neighbours::coreAndEdgeAddresses,
                neighbours::otherCoreAddresses,
                founder,
                context::freshDiskId,
                context.fleet::settled,
                losses);
    }

    private GracefulHandover handover() {
        return new GracefulHandover(
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
    void adopt(final VoterSet table) {
        if (formation == null) {
            proposer.adopt(table);
        } else {
            formation.adopt(table);
        }
    }

    void hear(final ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Table table) {
            adopt(table.voters());
        } else if (message instanceof ConsensusMessage.HoldBack back) {
            if (handover != null) {
                handover.hear(back);
            }
        } else if (message instanceof ConsensusMessage.Promise || message instanceof ConsensusMessage.Accepted) {
            proposer.hear(message);
        } else if (voter != null) {
            voter.hear(message, context.address);
        }
    }

    /** Sees that a majority without this core holds what it accepted; done is run when it does, or the wait is over. */
    void handOver(final Runnable done) {
        handover.begin(done);
    }

    void hear(final BootstrapMessage message) {
        council.hear(message);
        if (founder != null) {
            founder.hear(message);
        }
    }

    void hear(final MembershipMessage message) {
        if (message instanceof MembershipMessage.RemainsAsk ask) {
            context.post.send(ask.from(), new MembershipMessage.RemainsBack(remains()));
        } else if (formation != null) {
            formation.hear(message);
        } else if (message instanceof MembershipMessage.Standing standing) {
            hear(standing);
        }
    }

    /** An edge and a core tell each other of the newer table. */
    private void hear(final MembershipMessage.Standing standing) {
        if (standing.table() != null && standing.table().newerThan(proposer.voters())) {
            proposer.adopt(standing.table());
        } else if (standing.lacks(proposer.voters())) {
            context.post.send(standing.address(), new ConsensusMessage.Table(proposer.voters()));
        }
    }

    /** What this node has for a new generation. */
    private SurvivingState remains() {
        final List<ConsensusMessage.Entry> registers = new ArrayList<>();
        final boolean hasState = voter != null && voter.keepsState();
        if (hasState) {
            voter.registers().forEach((key, register) -> registers.add(new ConsensusMessage.Entry(key, register)));
        }
        final VoterSet table = proposer.voters();
        final long version = book.policy().version();
        return new SurvivingState(
                context.name,
                table == null ? 0 : table.generation(),
                version,
                version == 0 ? null : MessageCodec.bytes(book.snapshot()),
                tokenSeen.getAsLong(),
                hasState,
                registers);
    }
}
