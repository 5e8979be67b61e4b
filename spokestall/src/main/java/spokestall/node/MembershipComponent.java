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
    private final ConfigurationStore configurationStore;
    private final Acceptor acceptor;
    private final LongSupplier tokenSeen;
    private final BootstrapAcceptor bootstrapAcceptor;
    private final BootstrapProposer bootstrapProposer;
    private final MembershipCoordinator membershipCoordinator;
    private final GracefulHandover handover;

    /** The storage is null on an edge; tokenSeen is the highest fencing token that was stored here. */
    MembershipComponent(
            final NodeContext context,
            final PeerDirectory neighbours,
            final Proposer proposer,
            final ConfigurationStore configurationStore,
            final CoreStorage storage,
            final ToleratedSeatLoss losses,
            final LongSupplier tokenSeen) {
        this.context = context;
        this.proposer = proposer;
        this.configurationStore = configurationStore;
        this.acceptor = storage == null ? null : storage.acceptor;
        this.tokenSeen = tokenSeen;
        final boolean first = isFirstIncarnation();
        this.bootstrapAcceptor = new BootstrapAcceptor(
                context.address,
                context.settings().seeds(),
                first,
                context.post,
                proposer::voterSet,
                storage == null ? Runnable::run : storage::mark);
        this.bootstrapProposer = storage != null && first ? bootstrapProposer() : null;
        this.membershipCoordinator = storage == null ? null : membershipCoordinator(neighbours, losses);
        this.handover = storage == null ? null : handover();
    }

    /** Whether this life was told that it is the fleet's first, and its disk doesn't say otherwise. */
    private boolean isFirstIncarnation() {
        return context.settings().integer("cores") == 0
                && context.settings().integer("bootstrap") == 1
                && (acceptor == null || acceptor.openedBlank());
    }

    private BootstrapProposer bootstrapProposer() {
        return new BootstrapProposer(
                context.name,
                context.address,
                context.proposerId(),
                context.settings().seeds(),
                context.post,
                context.clock,
                context.timings().bootstrapProposer(),
                voters -> new GenerationMerger(context.fleet).merge(0, List.of(survivingState()), voters));
    }

    private MembershipCoordinator membershipCoordinator(
            final PeerDirectory neighbours, final ToleratedSeatLoss losses) {
        return new MembershipCoordinator(
                context.name,
                context.address,
                context.proposerId(),
                acceptor,
                proposer,
                context.post,
                context.clock,
                context.timings().membershipCoordinator(),
                new GenerationMerger(context.fleet),
                this::survivingState,
                neighbours::coreAndEdgeAddresses,
                neighbours::otherCoreAddresses,
                bootstrapProposer,
                context::freshDiskId,
                context.fleet::settled,
                losses);
    }

    private GracefulHandover handover() {
        return new GracefulHandover(
                context.name,
                context.address,
                acceptor,
                context.post,
                context.clock,
                context.timings().handover());
    }

    /** Goes by the table that this core's disk has. */
    void open() {
        if (acceptor.voterSet() != null) {
            proposer.updateVoterSet(acceptor.voterSet());
        }
    }

    void tick() {
        membershipCoordinator.tick();
    }

    /** Whether enough others were heard to know that this disk is not an older state of itself. */
    boolean checked() {
        return membershipCoordinator.checked();
    }

    /** Goes by a table, if it is newer than the one here. */
    void adopt(final VoterSet table) {
        if (membershipCoordinator == null) {
            proposer.updateVoterSet(table);
        } else {
            membershipCoordinator.adopt(table);
        }
    }

    void hear(final ConsensusMessage message) {
        if (message instanceof ConsensusMessage.VoterSetUpdate table) {
            adopt(table.voterSet());
        } else if (message instanceof ConsensusMessage.HandoverResponse back) {
            if (handover != null) {
                handover.hear(back);
            }
        } else if (message instanceof ConsensusMessage.Promise || message instanceof ConsensusMessage.Accepted) {
            proposer.onMessage(message);
        } else if (acceptor != null) {
            acceptor.onMessage(message, context.address);
        }
    }

    /** Sees that a majority without this core holds what it accepted; done is run when it does, or the wait is over. */
    void handOver(final Runnable done) {
        handover.begin(done);
    }

    void hear(final BootstrapMessage message) {
        bootstrapAcceptor.hear(message);
        if (bootstrapProposer != null) {
            bootstrapProposer.hear(message);
        }
    }

    void hear(final MembershipMessage message) {
        if (message instanceof MembershipMessage.SurvivingStateRequest ask) {
            context.post.send(ask.from(), new MembershipMessage.SurvivingStateResponse(survivingState()));
        } else if (membershipCoordinator != null) {
            membershipCoordinator.hear(message);
        } else if (message instanceof MembershipMessage.VoterStatus voterStatus) {
            hear(voterStatus);
        }
    }

    /** An edge and a core tell each other of the newer table. */
    private void hear(final MembershipMessage.VoterStatus voterStatus) {
        if (voterStatus.table() != null && voterStatus.table().newerThan(proposer.voterSet())) {
            proposer.updateVoterSet(voterStatus.table());
        } else if (voterStatus.lacks(proposer.voterSet())) {
            context.post.send(voterStatus.address(), new ConsensusMessage.VoterSetUpdate(proposer.voterSet()));
        }
    }

    /** What this node has for a new generation. */
    private SurvivingState survivingState() {
        final List<ConsensusMessage.Entry> registers = new ArrayList<>();
        final boolean hasState = acceptor != null && acceptor.hasStateOnDisk();
        if (hasState) {
            acceptor.registers().forEach((key, register) -> registers.add(new ConsensusMessage.Entry(key, register)));
        }
        final VoterSet table = proposer.voterSet();
        final long version = configurationStore.configuration().version();
        return new SurvivingState(
                context.name,
                table == null ? 0 : table.generation(),
                version,
                version == 0 ? null : MessageCodec.encodeRecord(configurationStore.snapshot()),
                tokenSeen.getAsLong(),
                hasState,
                registers);
    }
}
