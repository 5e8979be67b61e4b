package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Register;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Handover by a voter that shuts down: ensures that a majority of the voters, not counting itself, hold everything that it has
 * accepted.
 *
 * <p>The leaving voter asks each other voter which of the accepted registers it lacks, and sends these registers as chosen values.
 * A peer counts as a holder once it replies that it lacks nothing. The handover ends after a bounded time, even if incomplete. The
 * voter set does not change, since the voter may restart soon. This class stores nothing on disk. Not thread-safe; all calls on
 * the node's event loop.
 */
public final class GracefulHandover {
    /**
     * Timeouts, in milliseconds.
     *
     * @param retryMillis interval between requests to voters that are not yet holders
     * @param deadlineMillis maximum duration of the handover
     */
    public record Timeouts(long retryMillis, long deadlineMillis) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final LocalNode local;
    private final Acceptor acceptor;
    private final MessageSender sender;
    private final Clock clock;
    private final Timeouts timeouts;
    private final Set<String> holders = new HashSet<>();
    private long deadlineMillis;
    private VoterSet voterSet;
    /** Callback for the end of the handover; null unless a handover is in progress. */
    private Runnable onComplete;

    /** Creates a handover that has not started. */
    public GracefulHandover(
            final LocalNode local,
            final Acceptor acceptor,
            final MessageSender sender,
            final Clock clock,
            final Timeouts timeouts) {
        this.local = local;
        this.acceptor = acceptor;
        this.sender = sender;
        this.clock = clock;
        this.timeouts = timeouts;
    }

    /**
     * Starts the handover. {@code whenComplete} runs once, at the end; immediately if there is no other voter or this voter has no
     * state.
     */
    public void begin(final Runnable whenComplete) {
        deadlineMillis = clock.nowMs() + timeouts.deadlineMillis();
        onComplete = whenComplete;
        requestMissing();
    }

    private void requestMissing() {
        if (onComplete == null) {
            return;
        }
        final boolean isOnlyVoter =
                acceptor.voterSet() == null || acceptor.voterSet().voters().size() < 2;
        if (isOnlyVoter || !acceptor.hasState() || clock.nowMs() >= deadlineMillis) {
            complete();
            return;
        }
        if (acceptor.voterSet() != voterSet) {
            voterSet = acceptor.voterSet();
            holders.clear();
        }
        final List<ConsensusMessage.AcceptedEntry> accepted = acceptedRegisters();
        for (final Voter voter : voterSet.voters()) {
            if (!voter.name().equals(local.name()) && !holders.contains(voter.name())) {
                sender.send(
                        voter.address(),
                        new ConsensusMessage.HandoverRequest(
                                local.address(), voterSet.generation(), voterSet.epoch(), accepted));
            }
        }
        clock.after(timeouts.retryMillis(), this::requestMissing);
    }

    private List<ConsensusMessage.AcceptedEntry> acceptedRegisters() {
        final List<ConsensusMessage.AcceptedEntry> accepted = new ArrayList<>();
        acceptor.registers().forEach((key, register) -> {
            if (register.value() != null) {
                accepted.add(new ConsensusMessage.AcceptedEntry(key, register.accepted()));
            }
        });
        return accepted;
    }

    /** Handles a voter's reply; ignores replies for another voter set and replies after the end of the handover. */
    public void onResponse(final ConsensusMessage.HandoverResponse response) {
        if (onComplete == null || voterSet == null || !voterSet.hasEpoch(response.generation(), response.epoch())) {
            return;
        }
        final Voter voter = voterSet.voter(response.name());
        if (voter == null) {
            return;
        }
        if (response.outdatedKeys().isEmpty()) {
            holders.add(response.name());
        }
        for (final String key : response.outdatedKeys()) {
            sendRegister(voter, key);
        }
        // Of two voters a majority is two, but there is only one other voter.
        if (holders.size() >= Math.min(voterSet.majority(), voterSet.voters().size() - 1)) {
            complete();
        }
    }

    private void sendRegister(final Voter voter, final String key) {
        final Register register = acceptor.registers().get(key);
        if (register != null && register.value() != null) {
            sender.send(
                    voter.address(),
                    new ConsensusMessage.Chosen(
                            voterSet.generation(), voterSet.epoch(), key, register.accepted(), register.value()));
        }
    }

    private void complete() {
        LOG.atInfo().log("event=graceful_handover_ended node=%s holders=%s", local.name(), holders);
        final Runnable action = onComplete;
        onComplete = null;
        action.run();
    }
}
