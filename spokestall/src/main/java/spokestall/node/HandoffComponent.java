package spokestall.node;

import java.util.function.Supplier;
import java.util.function.ToLongFunction;
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

/** What this node keeps for others: names of registers that a voter missed, and answers of run-once requests. */
final class HandoffComponent {
    private static final int HINTS_KEPT = 16_384;
    private static final int HANDED_AT_ONCE = 512;
    /** How many cores an edge tells of a voter that missed a change. */
    private static final int CORES_TOLD = 2;

    private static final int CORE_CACHE_BYTES = 16 << 20;
    private static final int EDGE_CACHE_BYTES = 8 << 20;
    private final NodeContext context;
    private final Supplier<VoterSet> voterSet;
    private final ToLongFunction<String> heardMs;
    final HintStore hints = new HintStore(HINTS_KEPT);
    final ResponseCache responseCache;

    /** heardMs tells how long ago a core's answer was heard, by the core's name. */
    HandoffComponent(
            final NodeContext context, final Supplier<VoterSet> voterSet, final ToLongFunction<String> heardMs) {
        this.context = context;
        this.voterSet = voterSet;
        this.heardMs = heardMs;
        this.responseCache = new ResponseCache(context.core ? CORE_CACHE_BYTES : EDGE_CACHE_BYTES);
    }

    /** A voter missed a change: this core keeps the name for it, or an edge has two cores keep it. */
    void missed(final String voter, final String key) {
        if (context.core) {
            hints.keep(voter, key);
            return;
        }
        int told = 0;
        for (final Voter other : voterSet.get().voters()) {
            final boolean apt = !other.name().equals(voter)
                    && heardMs.applyAsLong(other.name()) < context.settings().peerTimeoutMillis();
            if (told < CORES_TOLD && apt) {
                context.post.send(other.address(), new HandoffMessage.Hint(voter, key));
                told++;
            }
        }
    }

    /** Hands over what a voter that is back should have had. It takes it like any late word of a chosen value. */
    void handOver(final MembershipMessage.VoterStatus back, final Acceptor acceptor) {
        if (acceptor.state() != Acceptor.State.VOTING || !voterSet.get().hasEpoch(back.generation(), back.epoch())) {
            return;
        }
        final VoterSet table = voterSet.get();
        for (final String key : hints.take(back.name(), HANDED_AT_ONCE)) {
            final Register register = acceptor.registers().get(key);
            if (register != null && register.value() != null) {
                context.post.send(
                        back.address(),
                        new ConsensusMessage.Chosen(
                                table.generation(), table.epoch(), key, register.accepted(), register.value()));
            }
        }
    }

    /** The edge is null where this node answers no clients. */
    void hear(final HandoffMessage message, final AdmissionController edge) {
        if (message instanceof HandoffMessage.Hint hint) {
            hints.keep(hint.missing(), hint.key());
        } else if (message instanceof HandoffMessage.Store keep) {
            responseCache.keep(keep);
        } else if (message instanceof HandoffMessage.Fetch ask) {
            answer(ask);
        } else if (message instanceof HandoffMessage.FetchResult back && edge != null) {
            edge.onFetchResult(back);
        }
    }

    private void answer(final HandoffMessage.Fetch ask) {
        final HandoffMessage.Store found = responseCache.find(ask.key(), ask.digest());
        context.post.send(
                ask.from(),
                new HandoffMessage.FetchResult(ask.requestId(), ask.key(), found == null ? null : found.content()));
    }
}
