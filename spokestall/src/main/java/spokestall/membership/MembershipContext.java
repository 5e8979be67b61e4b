package spokestall.membership;

import spokestall.consensus.Acceptor;
import spokestall.consensus.Proposer;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.Message;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Dependencies shared by all membership state machines of one core.
 *
 * @param local identity of this core
 * @param acceptor acceptor of this core; stores the voter set and the disk identity
 * @param proposer proposer of this core; receives every voter set that the acceptor adopts
 * @param sender sends messages; delivery is not guaranteed
 * @param clock monotonic time, and scheduling of later events
 * @param settings membership settings
 */
public record MembershipContext(
        LocalNode local,
        Acceptor acceptor,
        Proposer proposer,
        MessageSender sender,
        Clock clock,
        MembershipSettings settings) {
    /** Returns the voter set that this core knows, or null before it knows one. */
    VoterSet voterSet() {
        return acceptor.voterSet();
    }

    /** Returns the generation of {@link #voterSet()}, or 0 before this core knows one. */
    long generation() {
        return voterSet() == null ? 0 : voterSet().generation();
    }

    /** Returns this core as a voter with its current disk. */
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
