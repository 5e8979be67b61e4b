package spokestall.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import spokestall.consensus.Acceptor;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.Fingerprints;

/**
 * Sends this core's status to the other cores and keeps the last status received from each of them.
 *
 * <p>Each status contains the highest sequence number synced to the sender's disk and the highest one that the sender has seen for
 * the recipient's disk. A core whose disk was restored to an older state therefore learns this from the first peer that has seen a
 * higher number ({@link #provesDiskRollback}). Until enough peers have reported to rule out a rollback, {@link #isDiskVerified} is
 * false and the node does not vote. All statuses are kept in memory only.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Keeps at most {@link #PEERS_MAX} peers.
 */
final class VoterStatusExchange {
    /** How a received status was handled. */
    enum ReceiveResult {
        /** The status was not recorded, because the maximum number of peers is kept already. */
        REJECTED,
        /** The status is the first of this peer, or the first after its previous status was no longer fresh. */
        NEW_OR_RETURNED,
        /** The peer's previous status was still fresh. */
        KNOWN
    }

    /** Last status of a peer, and the highest sequence number that it has reported for its current disk. */
    private record PeerStatus(MembershipMessage.VoterStatus status, long receivedMillis, long writtenMax) {
        private PeerStatus next(final MembershipMessage.VoterStatus newer, final long nowMillis) {
            final boolean sameDisk = status.diskId().equals(newer.diskId());
            return new PeerStatus(newer, nowMillis, sameDisk ? Math.max(writtenMax, newer.written()) : newer.written());
        }
    }

    private static final int PEERS_MAX = 4 * VoterSet.VOTERS_MAX;
    /** Number of status intervals without a change after which a core sends one status per interval instead of one per tick. */
    private static final int UNCHANGED_INTERVALS_TO_SETTLE = 3;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final boolean bootstrapCandidate;
    private final PeerLiveness liveness;
    private final Map<String, PeerStatus> peers = new TreeMap<>();
    private MembershipMessage.VoterStatus lastAnnouncedStatus;
    private long lastAnnouncedMillis = NEVER_MILLIS;
    private long statusChangedMillis;

    /** Creates an exchange without peers; {@code bootstrapCandidate} is true if this core may join the first voter set. */
    VoterStatusExchange(
            final MembershipContext context,
            final MembershipEnvironment environment,
            final boolean bootstrapCandidate) {
        this.context = context;
        this.environment = environment;
        this.bootstrapCandidate = bootstrapCandidate;
        this.liveness = new PeerLiveness(context.timeouts().statusIntervalMillis());
    }

    /** Returns this core's status with its voter set, but without the write progress of disks. */
    MembershipMessage.VoterStatus localStatus() {
        final Acceptor acceptor = context.acceptor();
        return new MembershipMessage.VoterStatus(
                context.local().name(),
                context.local().address(),
                acceptor.diskId(),
                acceptor.voterSet(),
                acceptor.hasState(),
                acceptor.state() == Acceptor.State.VOTING,
                acceptor.canWrite(),
                0,
                0,
                bootstrapCandidate && acceptor.voterSet() == null,
                acceptor.isCatchingUp(),
                silentVoters(context.timeouts().silentAfterMillis()),
                silentVoters(context.timeouts().removableAfterMillis()),
                0,
                0,
                0);
    }

    private long silentVoters(final long silenceThresholdMillis) {
        final VoterSet voterSet = context.voterSet();
        return voterSet == null
                ? 0
                : liveness.silentVoters(voterSet, context.local().name(), silenceThresholdMillis, context.nowMillis());
    }

    /** Records a peer's status. */
    ReceiveResult onVoterStatus(final MembershipMessage.VoterStatus status) {
        final PeerStatus previous = peers.get(status.name());
        if (previous == null && peers.size() >= PEERS_MAX) {
            return ReceiveResult.REJECTED;
        }
        final long nowMillis = context.nowMillis();
        liveness.onMessage(status.name(), nowMillis);
        peers.put(
                status.name(),
                previous == null
                        ? new PeerStatus(status, nowMillis, status.written())
                        : previous.next(status, nowMillis));
        return previous == null || !isFresh(previous) ? ReceiveResult.NEW_OR_RETURNED : ReceiveResult.KNOWN;
    }

    /** Whether the sender has seen a higher sequence number from this core's disk than the disk has now. */
    boolean provesDiskRollback(final MembershipMessage.VoterStatus status) {
        return status.provesDiskRollback(
                        context.acceptor().diskId(), context.acceptor().syncedSeq())
                && context.acceptor().canWrite();
    }

    /**
     * Whether enough other voters have reported in this incarnation to form a majority together with this core. If this disk had
     * been restored to an older state, one of them would have reported the higher sequence number.
     */
    boolean isDiskVerified() {
        final VoterSet voterSet = context.voterSet();
        if (voterSet == null) {
            return false;
        }
        int reported = 0;
        for (final Voter voter : voterSet.voters()) {
            reported += !voter.name().equals(context.local().name()) && peers.containsKey(voter.name()) ? 1 : 0;
        }
        return reported >= voterSet.majority() - 1;
    }

    private boolean isFresh(final PeerStatus peer) {
        return context.nowMillis() - peer.receivedMillis <= context.timeouts().statusFreshMillis();
    }

    /** Returns the fresh statuses of peers and this core's own status, in ascending order of names. */
    Map<String, MembershipMessage.VoterStatus> freshStatuses() {
        final Map<String, MembershipMessage.VoterStatus> fresh = new TreeMap<>();
        peers.forEach((name, peer) -> {
            if (isFresh(peer)) {
                fresh.put(name, peer.status);
            }
        });
        fresh.put(context.local().name(), localStatus());
        return fresh;
    }

    /**
     * Sends this core's status to the other cores, less often while nothing changes. While this core knows no voter set, also sends
     * the status to edges once per interval, since an edge may be the only node that still knows the voter set.
     */
    void onTick(final GenerationRecovery.Phase recoveryPhase) {
        if (context.voterSet() != null) {
            liveness.onTick(context.voterSet(), context.nowMillis());
        }
        final long nowMillis = context.nowMillis();
        final long intervalMillis = context.timeouts().statusIntervalMillis();
        final MembershipMessage.VoterStatus status = localStatus();
        if (!status.equals(lastAnnouncedStatus)) {
            lastAnnouncedStatus = status;
            statusChangedMillis = nowMillis;
        }
        if (isSettled(recoveryPhase, nowMillis) && nowMillis - lastAnnouncedMillis < intervalMillis) {
            return;
        }
        final boolean includeEdges =
                status.voterSet() == null && nowMillis / intervalMillis != lastAnnouncedMillis / intervalMillis;
        lastAnnouncedMillis = nowMillis;
        announce(status, includeEdges ? environment.otherNodeAddresses() : environment.otherCoreAddresses());
    }

    private boolean isSettled(final GenerationRecovery.Phase recoveryPhase, final long nowMillis) {
        final Acceptor.State state = context.acceptor().state();
        return recoveryPhase == GenerationRecovery.Phase.IDLE
                && nowMillis - statusChangedMillis
                        > UNCHANGED_INTERVALS_TO_SETTLE * context.timeouts().statusIntervalMillis()
                && (state == Acceptor.State.VOTING || state == Acceptor.State.STOPPED);
    }

    private void announce(final MembershipMessage.VoterStatus status, final List<String> recipients) {
        final Set<String> addressesWithVoterSet = new HashSet<>();
        peers.values().forEach(peer -> {
            if (!peer.status.lacksVoterSet(status.voterSet())) {
                addressesWithVoterSet.add(peer.status.address());
            }
        });
        final MembershipMessage.VoterStatus statusForUpToDatePeers =
                context.settings().voterSetInStatus() == MembershipSettings.VoterSetInStatus.ALWAYS
                        ? status
                        : status.withoutVoterSet();
        for (final String recipient : recipients) {
            send(recipient, addressesWithVoterSet.contains(recipient) ? statusForUpToDatePeers : status);
        }
    }

    /** Sends this core's status, with the voter set, to one peer immediately. */
    void sendLocalStatus(final String to) {
        send(to, localStatus());
    }

    private void send(final String to, final MembershipMessage.VoterStatus status) {
        final long written = context.acceptor().syncedSeq();
        MembershipMessage.VoterStatus statusToSend = status.withWriteProgress(written, 0, 0);
        for (final PeerStatus peer : peers.values()) {
            if (peer.status.address().equals(to)) {
                statusToSend =
                        status.withWriteProgress(written, Fingerprints.of(peer.status.diskId()), peer.writtenMax);
            }
        }
        context.send(to, statusToSend);
    }
}
