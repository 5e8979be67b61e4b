package spokestall.node;

import java.util.function.Supplier;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Register;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.handoff.HandoffMessage;
import spokestall.handoff.HintStore;
import spokestall.handoff.ResponseCache;
import spokestall.membership.MembershipMessage;
import spokestall.proxy.AdmissionController;

/**
 * Data that this node stores for other nodes: hints, which are the keys of register changes that a voter missed, and
 * the responses of idempotent requests.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class HandoffComponent {
    /** Reports how recently each core answered this node. */
    interface CoreLiveness {
        /** Returns the time since the core's last answer, {@link Long#MAX_VALUE} if it never answered. */
        long sinceLastAnswerMs(String core);
    }

    private static final int HINTS_PER_VOTER = 16_384;
    private static final int VALUES_PER_STATUS = 512;
    /** How many cores an edge asks to store a hint. */
    private static final int CORES_PER_HINT = 2;

    private static final int CORE_CACHE_BYTES = 16 << 20;
    private static final int EDGE_CACHE_BYTES = 8 << 20;
    private final NodeContext context;
    private final Supplier<VoterSet> voterSet;
    private final CoreLiveness liveness;
    final HintStore hints = new HintStore(HINTS_PER_VOTER);
    final ResponseCache responseCache;

    /**
     * Creates the component without hints or responses.
     *
     * @param voterSet returns the current voters; called each time they are needed
     */
    HandoffComponent(final NodeContext context, final Supplier<VoterSet> voterSet, final CoreLiveness liveness) {
        this.context = context;
        this.voterSet = voterSet;
        this.liveness = liveness;
        this.responseCache = new ResponseCache(context.core ? CORE_CACHE_BYTES : EDGE_CACHE_BYTES);
    }

    /**
     * Called when a voter missed a register's change. A core stores the hint itself; an edge sends it to two live
     * cores.
     */
    void onMissedChange(final String voter, final String key) {
        if (context.core) {
            hints.add(voter, key);
            return;
        }
        int sent = 0;
        for (final Voter other : voterSet.get().voters()) {
            if (sent < CORES_PER_HINT && !other.name().equals(voter) && isLive(other)) {
                context.messageSender.send(other.address(), new HandoffMessage.Hint(voter, key));
                sent++;
            }
        }
    }

    private boolean isLive(final Voter voter) {
        return liveness.sinceLastAnswerMs(voter.name()) < context.settings().peerTimeoutMillis();
    }

    /**
     * Sends a voter that votes again the values of registers that it missed, at most {@value #VALUES_PER_STATUS} for
     * each of its status messages. The voter treats them like any chosen value that arrives late.
     */
    void replayHints(final MembershipMessage.VoterStatus status, final Acceptor acceptor) {
        if (acceptor.state() != Acceptor.State.VOTING
                || !voterSet.get().hasEpoch(status.generation(), status.epoch())) {
            return;
        }
        final VoterSet voters = voterSet.get();
        for (final String key : hints.remove(status.name(), VALUES_PER_STATUS)) {
            final Register register = acceptor.registers().get(key);
            if (register != null && register.value() != null) {
                context.messageSender.send(
                        status.address(),
                        new ConsensusMessage.Chosen(
                                voters.generation(), voters.epoch(), key, register.accepted(), register.value()));
            }
        }
    }

    /**
     * Handles a message.
     *
     * @param admission the admission controller, or null if this node doesn't serve clients
     */
    void onMessage(final HandoffMessage message, final AdmissionController admission) {
        if (message instanceof HandoffMessage.Hint hint) {
            hints.add(hint.voter(), hint.key());
        } else if (message instanceof HandoffMessage.Store response) {
            responseCache.put(response);
        } else if (message instanceof HandoffMessage.Fetch request) {
            onFetch(request);
        } else if (message instanceof HandoffMessage.FetchResult result && admission != null) {
            admission.onFetchResult(result);
        }
    }

    private void onFetch(final HandoffMessage.Fetch request) {
        context.messageSender.send(
                request.from(),
                new HandoffMessage.FetchResult(
                        request.requestId(),
                        request.key(),
                        responseCache
                                .find(request.key(), request.digest())
                                .map(HandoffMessage.Store::content)
                                .orElse(null)));
    }
}
