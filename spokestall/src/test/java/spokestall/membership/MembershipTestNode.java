package spokestall.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterGuard;
import spokestall.consensus.VoterSet;
import spokestall.message.Message;
import spokestall.storage.DelayedSegmentStore;
import spokestall.storage.SegmentedLog;
import spokestall.time.Clock;

/** One node of a {@link MembershipTestFleet}, a core or an edge, through all of its incarnations. */
final class MembershipTestNode {
    /** Whether a node may be a voter. */
    enum Role {
        CORE,
        EDGE
    }

    private static final MembershipSettings SETTINGS = new MembershipSettings(
            0,
            MembershipSettings.VoterSetInStatus.WHEN_RECIPIENT_MAY_LACK_IT,
            new MembershipTimeouts(2400, 600, 3000, 880, 1000, 2000, 32_000));

    private static final int TICK_MILLIS = 250;
    private static final int FEED_POLL_MILLIS = 400;
    /** Time after which a node's gossip view is complete. */
    private static final int GOSSIP_SPREAD_MILLIS = 1500;

    final String name;
    final boolean core;
    boolean up;
    /** Whether the first incarnation of this node is configured as the fleet's first. */
    boolean configuredAsFirst;

    int incarnations;
    /** Whether the node and its disk are removed permanently. */
    boolean removed;

    Acceptor acceptor;
    Proposer proposer;
    private final MembershipTestFleet fleet;
    private DelayedSegmentStore disk;
    private MembershipCoordinator coordinator;
    private GracefulHandover handover;
    private BootstrapAcceptor bootstrapAcceptor;
    private Optional<BootstrapProposer> bootstrapProposer = Optional.empty();
    private long startedMillis;

    MembershipTestNode(final MembershipTestFleet fleet, final String name, final Role role) {
        this.fleet = fleet;
        this.name = name;
        this.core = role == Role.CORE;
        this.disk = blankDisk();
    }

    private DelayedSegmentStore blankDisk() {
        return new DelayedSegmentStore(8, 1 << 15, fleet.clock, () -> 1 + fleet.random.nextInt(8));
    }

    /**
     * Starts an incarnation. Only a node's first incarnation may be configured as the fleet's first, unless the fleet injects the
     * fault that every incarnation is.
     */
    void start() {
        incarnations++;
        up = true;
        startedMillis = fleet.nowMs();
        final Clock clock = incarnationClock(incarnations);
        final LocalNode local = new LocalNode(name, name, name + "#" + incarnations);
        proposer = new Proposer(
                local.proposerId(),
                name,
                this::send,
                clock,
                fleet.random,
                new Proposer.Timing(150, 30, 1000),
                (voter, key) -> {});
        acceptor = core
                ? new Acceptor(name, new SegmentedLog(disk), this::send, new VoterSetRegisterGuard(), freshDiskId())
                : null;
        final boolean first = configuredAsFirst
                && (incarnations == 1 || fleet.everyIncarnationIsFirst)
                && (!core || acceptor.openedBlank());
        bootstrapAcceptor = new BootstrapAcceptor(
                name,
                fleet.seeds,
                first
                        ? BootstrapAcceptor.Eligibility.FIRST_INCARNATION
                        : BootstrapAcceptor.Eligibility.LATER_INCARNATION,
                this::send,
                new BootstrapEnvironment());
        bootstrapProposer = core && first ? Optional.of(bootstrapProposer(local, clock)) : Optional.empty();
        if (core) {
            startCore(local, clock);
        } else {
            pollFeed(clock);
        }
    }

    private BootstrapProposer bootstrapProposer(final LocalNode local, final Clock clock) {
        return new BootstrapProposer(
                local,
                fleet.seeds,
                this::send,
                clock,
                new BootstrapProposer.Timeouts(2000, 1000, 880),
                voters -> fleet.initialState(0, voters));
    }

    private void startCore(final LocalNode local, final Clock clock) {
        coordinator = new MembershipCoordinator(
                new MembershipContext(local, acceptor, proposer, this::send, clock, SETTINGS),
                new CoreEnvironment(),
                fleet::merge,
                fleet::maxVotersLost,
                bootstrapProposer);
        handover = new GracefulHandover(local, acceptor, this::send, clock, new GracefulHandover.Timeouts(220, 900));
        if (acceptor.voterSet() != null) {
            proposer.updateVoterSet(acceptor.voterSet());
        }
        tick(clock);
    }

    /** A clock whose events are dropped once the incarnation has ended. */
    private Clock incarnationClock(final int incarnation) {
        return new Clock() {
            @Override
            public long nowMs() {
                return fleet.clock.nowMs();
            }

            @Override
            public long wallMs() {
                return fleet.clock.wallMs();
            }

            @Override
            public void after(final long waitMs, final Runnable event) {
                fleet.clock.after(waitMs, () -> {
                    if (up && incarnations == incarnation) {
                        event.run();
                    }
                });
            }
        };
    }

    private void tick(final Clock clock) {
        clock.after(TICK_MILLIS, () -> tick(clock));
        coordinator.onTick();
    }

    /** Polls the feed of all cores, from which an edge learns voter sets. */
    private void pollFeed(final Clock clock) {
        clock.after(FEED_POLL_MILLIS, () -> pollFeed(clock));
        for (final MembershipTestNode other : fleet.nodes.values()) {
            if (!fleet.edgeFeedDisabled
                    && other.core
                    && other.up
                    && other.proposer.voterSet() != null
                    && fleet.random.nextDouble() >= fleet.messageLoss) {
                proposer.updateVoterSet(other.proposer.voterSet());
            }
        }
    }

    private String freshDiskId() {
        return name + "/" + fleet.random.nextInt(1 << 30);
    }

    /** Returns the known nodes. A new node becomes known after a delay of up to {@link #GOSSIP_SPREAD_MILLIS}, as with gossip. */
    private List<String> knownNodes(final Predicate<MembershipTestNode> wanted) {
        final List<String> known = new ArrayList<>();
        fleet.nodes.forEach((otherName, other) -> {
            if (other != this
                    && other.incarnations > 0
                    && wanted.test(other)
                    && fleet.nowMs() - Math.max(startedMillis, other.startedMillis)
                            > (name + otherName).hashCode() % GOSSIP_SPREAD_MILLIS) {
                known.add(otherName);
            }
        });
        return known;
    }

    private SurvivingState survivingState() {
        final List<ConsensusMessage.Entry> registers = new ArrayList<>();
        acceptor.registers().forEach((key, register) -> registers.add(new ConsensusMessage.Entry(key, register)));
        final long generation =
                acceptor.voterSet() == null ? 0 : acceptor.voterSet().generation();
        return new SurvivingState(name, generation, 0, null, 0, acceptor.hasStateOnDisk(), registers);
    }

    /** Ends the incarnation like a power loss. */
    void stop() {
        up = false;
        disk.losePower();
    }

    /** Ends the incarnation and replaces the disk with a blank one. */
    void wipe() {
        stop();
        disk = blankDisk();
    }

    /** Hands over, then removes the node permanently. */
    void leaveGracefullyForGood() {
        handover.begin(this::removeForGood);
    }

    /** Ends the incarnation and removes the node permanently. */
    void removeForGood() {
        stop();
        removed = true;
    }

    /** Adds this delay to each write. */
    void slowDisk(final long byMillis) {
        disk.setAddedDelayMs(byMillis);
    }

    /** Returns the records that are synced to the disk. */
    Map<String, byte[]> syncedRecords() {
        return new SegmentedLog(disk).table();
    }

    /** Returns the node's region, one of three, which depends on the number in its name. */
    int region() {
        return Integer.parseInt(name.replaceAll("[^0-9]", "")) % 3;
    }

    private void send(final String to, final Message message) {
        fleet.send(name, to, message);
    }

    void onMessage(final Message message) {
        if (message instanceof BootstrapMessage bootstrap) {
            bootstrapAcceptor.onMessage(bootstrap);
            bootstrapProposer.ifPresent(proposing -> proposing.onMessage(bootstrap));
        } else if (message instanceof ConsensusMessage.VoterSetUpdate newer) {
            if (core) {
                coordinator.adopt(newer.voterSet());
            } else {
                proposer.updateVoterSet(newer.voterSet());
            }
        } else if (message instanceof ConsensusMessage.HandoverResponse response) {
            handover.onResponse(response);
        } else if (message instanceof ConsensusMessage consensus) {
            proposer.onMessage(consensus);
            if (core) {
                acceptor.onMessage(consensus, name);
            }
        } else if (message instanceof MembershipMessage.SurvivingStateRequest request && core) {
            send(request.from(), new MembershipMessage.SurvivingStateResponse(survivingState()));
        } else if (message instanceof MembershipMessage membership && core) {
            coordinator.onMessage(membership);
        } else if (message instanceof MembershipMessage.VoterStatus status) {
            onVoterStatusAtEdge(status);
        }
    }

    private void onVoterStatusAtEdge(final MembershipMessage.VoterStatus status) {
        if (status.lacksVoterSet(proposer.voterSet())) {
            send(status.address(), new ConsensusMessage.VoterSetUpdate(proposer.voterSet()));
        } else if (status.voterSet() != null) {
            proposer.updateVoterSet(status.voterSet());
        }
    }

    private final class BootstrapEnvironment implements BootstrapAcceptor.Environment {
        @Override
        public VoterSet voterSet() {
            return proposer.voterSet();
        }

        @Override
        public void afterDiskMarked(final Runnable action) {
            if (core) {
                acceptor.putLocalRecord("~council", new byte[0], ok -> action.run());
            } else {
                action.run();
            }
        }
    }

    private final class CoreEnvironment implements MembershipEnvironment {
        @Override
        public SurvivingState survivingState() {
            return MembershipTestNode.this.survivingState();
        }

        @Override
        public List<String> otherNodeAddresses() {
            return knownNodes(other -> true);
        }

        @Override
        public List<String> otherCoreAddresses() {
            return knownNodes(other -> other.core);
        }

        @Override
        public String freshDiskId() {
            return MembershipTestNode.this.freshDiskId();
        }

        @Override
        public boolean isFleetClockSettled() {
            return true;
        }
    }

    /** Prunes only registers that decide voter sets, except the one for the next epoch. */
    private final class VoterSetRegisterGuard implements RegisterGuard {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean hasCapacityFor(final String key) {
            return true;
        }

        @Override
        public boolean isPruned(final String key) {
            final VoterSet voterSet = acceptor.voterSet();
            return key.startsWith("voters/")
                    && !key.equals("voters/" + voterSet.generation() + "/" + (voterSet.epoch() + 1));
        }

        @Override
        public boolean accepts(final String key, final byte[] value) {
            return true;
        }
    }
}
