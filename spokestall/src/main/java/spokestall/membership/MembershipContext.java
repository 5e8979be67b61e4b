package spokestall.membership;

import spokestall.consensus.Acceptor;
import spokestall.consensus.Proposer;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.Message;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * What all membership state machines of one core share: its identity, its acceptor and proposer, and how it sends and tells time.
 *
 * @param local identity of this core
 * @param acceptor acceptor of this core; owns the stored voter set and the disk identity
 * @param proposer proposer of this core; receives every voter set that the acceptor adopts
 * @param sender sends messages; delivery is not guaranteed
 * @param clock monotonic time and later events
 * @param settings settings of membership
 */
public record MembershipContext(
        LocalNode local,
        Acceptor acceptor,
        Proposer proposer,
        MessageSender sender,
        Clock clock,
        MembershipSettings settings) {
    /** The voter set that this core knows, or null before it knows one. */
    VoterSet voterSet() {
        return acceptor.voterSet();
    }

    /** The generation of {@link #voterSet()}, or 0 before one is known. */
    long generation() {
        return voterSet() == null ? 0 : voterSet().generation();
    }

    /** This core with its present disk, as a voter. */
    Voter localVoter() {
        return new Voter(local.name(), local.address(), acceptor.diskId());
    }

    MembershipTimeouts timeouts() {
        return settings.timeouts();
    }

    long nowMillis() {
        return clock.nowMs();
    }

    void send(final String to, final Message message) {
        sender.send(to, message);
    }
}
