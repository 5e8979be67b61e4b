package spokestall.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Proposer;
import spokestall.consensus.VoterSet;
import spokestall.membership.BootstrapAcceptor;
import spokestall.membership.BootstrapMessage;
import spokestall.membership.BootstrapProposer;
import spokestall.membership.GracefulHandover;
import spokestall.membership.InitialStateMerger;
import spokestall.membership.LocalNode;
import spokestall.membership.MembershipContext;
import spokestall.membership.MembershipCoordinator;
import spokestall.membership.MembershipEnvironment;
import spokestall.membership.MembershipMessage;
import spokestall.membership.SurvivingState;
import spokestall.membership.ToleratedLoss;
import spokestall.message.MessageCodec;

/**
 * Consensus and membership on one node: dispatches their messages, and provides the state that this node contributes to
 * a new generation.
 *
 * <p>A core has an acceptor, a {@link MembershipCoordinator} and a {@link GracefulHandover}. An edge has none of them:
 * it follows the voter set, and if it is a seed it votes on the first generation. Not thread-safe; all calls on the
 * node's event loop.
 */
final class MembershipComponent {
    /** Returns the highest fencing token that this node has stored. */
    @FunctionalInterface
    interface FencingTokenSource {
        /** Returns the highest stored token, or 0 on a node that stores none. */
        long highestStored();
    }

    /** The parts that only a core has. */
    private record CoreRole(Acceptor acceptor, MembershipCoordinator coordinator, GracefulHandover handover) {}

    private final NodeContext context;
    private final Proposer proposer;
    private final ConfigurationStore configurationStore;
    private final FencingTokenSource fencingTokens;
    private final BootstrapAcceptor bootstrapAcceptor;
    private final Optional<BootstrapProposer> bootstrapProposer;
    private final Optional<CoreRole> coreRole;

    /**
     * Creates the component.
     *
     * @param storage this core's storage, or null on an edge
     */
    MembershipComponent(
            final NodeContext context,
            final PeerDirectory peers,
            final Proposer proposer,
            final ConfigurationStore configurationStore,
            final CoreStorage storage,
            final ToleratedLoss toleratedLoss,
            final FencingTokenSource fencingTokens) {
        this.context = context;
        this.proposer = proposer;
        this.configurationStore = configurationStore;
        this.fencingTokens = fencingTokens;
        final BootstrapAcceptor.Eligibility eligibility = bootstrapEligibility(storage);
        this.bootstrapAcceptor = new BootstrapAcceptor(
                context.address,
                context.settings().seeds(),
                eligibility,
                context.messageSender,
                bootstrapEnvironment(storage));
        this.bootstrapProposer = storage != null && eligibility == BootstrapAcceptor.Eligibility.FIRST_INCARNATION
                ? Optional.of(bootstrapProposer())
                : Optional.empty();
        this.coreRole =
                storage == null ? Optional.empty() : Optional.of(coreRole(storage.acceptor, peers, toleratedLoss));
    }

    private LocalNode localNode() {
        return new LocalNode(context.name, context.address, context.proposerId());
    }

    /**
     * Returns FIRST_INCARNATION if the settings say that this is the node's first start and the disk, if there is one,
     * was blank when it was opened.
     */
    private BootstrapAcceptor.Eligibility bootstrapEligibility(final CoreStorage storage) {
        final boolean first = context.settings().integer("cores") == 0
                && context.settings().integer("bootstrap") == 1
                && (storage == null || storage.acceptor.openedBlank());
        return first
                ? BootstrapAcceptor.Eligibility.FIRST_INCARNATION
                : BootstrapAcceptor.Eligibility.LATER_INCARNATION;
    }

    private BootstrapAcceptor.Environment bootstrapEnvironment(final CoreStorage storage) {
        return new BootstrapAcceptor.Environment() {
            @Override
            public VoterSet voterSet() {
                return proposer.voterSet();
            }

            @Override
            public void afterDiskMarked(final Runnable action) {
                if (storage == null) {
                    action.run();
                } else {
                    storage.markBootstrapped(action);
                }
            }
        };
    }

    private BootstrapProposer bootstrapProposer() {
        final InitialStateMerger merger = new GenerationMerger(context.fleetClock);
        return new BootstrapProposer(
                localNode(),
                context.settings().seeds(),
                context.messageSender,
                context.clock,
                context.timings().bootstrapProposer(),
                voters -> merger.merge(0, List.of(survivingState()), voters));
    }

    private CoreRole coreRole(final Acceptor acceptor, final PeerDirectory peers, final ToleratedLoss toleratedLoss) {
        final MembershipCoordinator coordinator = new MembershipCoordinator(
                new MembershipContext(
                        localNode(),
                        acceptor,
                        proposer,
                        context.messageSender,
                        context.clock,
                        context.timings().membership()),
                environment(peers),
                new GenerationMerger(context.fleetClock),
                toleratedLoss,
                bootstrapProposer);
        final GracefulHandover handover = new GracefulHandover(
                localNode(),
                acceptor,
                context.messageSender,
                context.clock,
                context.timings().handover());
        return new CoreRole(acceptor, coordinator, handover);
    }

    private MembershipEnvironment environment(final PeerDirectory peers) {
        return new MembershipEnvironment() {
            @Override
            public SurvivingState survivingState() {
                return MembershipComponent.this.survivingState();
            }

            @Override
            public List<String> otherNodeAddresses() {
                return peers.coreAndEdgeAddresses();
            }

            @Override
            public List<String> otherCoreAddresses() {
                return peers.otherCoreAddresses();
            }

            @Override
            public String freshDiskId() {
                return context.freshDiskId();
            }

            @Override
            public boolean isFleetClockSettled() {
                return context.fleetClock.settled();
            }
        };
    }

    /** Adopts the voter set on this core's disk, if there is one. */
    void open() {
        coreRole.map(role -> role.acceptor().voterSet()).ifPresent(proposer::updateVoterSet);
    }

    /** Advances membership on a core. */
    void onTick() {
        coreRole.ifPresent(role -> role.coordinator().onTick());
    }

    /**
     * Returns whether enough other voters have reported to rule out that this core's disk was restored to an older
     * state.
     */
    boolean isDiskVerified() {
        return coreRole.isPresent() && coreRole.get().coordinator().isDiskVerified();
    }

    /** Adopts a voter set if it is newer than the current one. */
    void adopt(final VoterSet voterSet) {
        coreRole.ifPresentOrElse(role -> role.coordinator().adopt(voterSet), () -> proposer.updateVoterSet(voterSet));
    }

    /** Handles a message from a proposer or a voter. */
    void onMessage(final ConsensusMessage message) {
        if (message instanceof ConsensusMessage.VoterSetUpdate newer) {
            adopt(newer.voterSet());
        } else if (message instanceof ConsensusMessage.HandoverResponse response) {
            coreRole.ifPresent(role -> role.handover().onResponse(response));
        } else if (message instanceof ConsensusMessage.Promise || message instanceof ConsensusMessage.Accepted) {
            proposer.onMessage(message);
        } else {
            coreRole.ifPresent(role -> role.acceptor().onMessage(message, context.address));
        }
    }

    /** Begins the handover of a core that shuts down. Runs {@code whenComplete} once, within a bounded time. */
    void handOver(final Runnable whenComplete) {
        coreRole.orElseThrow().handover().begin(whenComplete);
    }

    /** Handles a message of the bootstrap vote, which decides the first generation. */
    void onMessage(final BootstrapMessage message) {
        bootstrapAcceptor.onMessage(message);
        bootstrapProposer.ifPresent(proposing -> proposing.onMessage(message));
    }

    /** Handles a membership message from a core. */
    void onMessage(final MembershipMessage message) {
        if (message instanceof MembershipMessage.SurvivingStateRequest request) {
            context.messageSender.send(request.from(), new MembershipMessage.SurvivingStateResponse(survivingState()));
        } else if (coreRole.isPresent()) {
            coreRole.get().coordinator().onMessage(message);
        } else if (message instanceof MembershipMessage.VoterStatus status) {
            onVoterStatusAtEdge(status);
        }
    }

    /** Adopts the core's voter set if it is newer, or sends the core this edge's voter set if that is newer. */
    private void onVoterStatusAtEdge(final MembershipMessage.VoterStatus status) {
        if (status.voterSet() != null && status.voterSet().newerThan(proposer.voterSet())) {
            proposer.updateVoterSet(status.voterSet());
        } else if (status.lacksVoterSet(proposer.voterSet())) {
            context.messageSender.send(status.address(), new ConsensusMessage.VoterSetUpdate(proposer.voterSet()));
        }
    }

    /** Returns the state that this node could contribute to a new generation now. */
    private SurvivingState survivingState() {
        final List<ConsensusMessage.Entry> registers = new ArrayList<>();
        final boolean hasState =
                coreRole.isPresent() && coreRole.get().acceptor().hasStateOnDisk();
        if (hasState) {
            coreRole.get()
                    .acceptor()
                    .registers()
                    .forEach((key, register) -> registers.add(new ConsensusMessage.Entry(key, register)));
        }
        final VoterSet voterSet = proposer.voterSet();
        final long version = configurationStore.configuration().version();
        return new SurvivingState(
                context.name,
                voterSet == null ? 0 : voterSet.generation(),
                version,
                version == 0 ? null : MessageCodec.encodeRecord(configurationStore.snapshot()),
                fencingTokens.highestStored(),
                hasState,
                registers);
    }
}
