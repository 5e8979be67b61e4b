package spokestall.consensus;

import java.util.List;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/**
 * The messages between proposers and acceptors, and among acceptors. Each is written by the order of its fields, and
 * {@link Reply} by its ordinal.
 *
 * <p>Any message may be lost, delayed, reordered or delivered twice. {@code from} is the address that replies go to; generation and
 * epoch are those of the sender's voter set. Replies carry the {@code attemptId} of the request that they answer.
 */
public sealed interface ConsensusMessage extends Message {
    /** Requests the promise of a proposal number, or with {@code peek} only what is accepted; a peek changes nothing. */
    record Prepare(
            long attemptId,
            String from,
            long generation,
            long epoch,
            String key,
            ProposalNumber proposalNumber,
            boolean peek)
            implements ConsensusMessage {}

    /** The reply to {@link Prepare}: the register as it is on disk. The value is null unless the reply is OK. */
    record Promise(
            long attemptId,
            String acceptor,
            String diskId,
            Reply reply,
            ProposalNumber promised,
            ProposalNumber accepted,
            byte[] value)
            implements ConsensusMessage {}

    /** Requests that a value be accepted under a proposal number. */
    record Accept(
            long attemptId,
            String from,
            long generation,
            long epoch,
            String key,
            ProposalNumber proposalNumber,
            byte[] value)
            implements ConsensusMessage {}

    /** The reply to {@link Accept}. If it isn't OK, {@code promised} is the number that the acceptor has promised. */
    record Accepted(long attemptId, String acceptor, String diskId, Reply reply, ProposalNumber promised)
            implements ConsensusMessage {}

    /** Notifies a voter of a value that a majority has accepted under a proposal number. There is no reply. */
    record Chosen(long generation, long epoch, String key, ProposalNumber proposalNumber, byte[] value)
            implements ConsensusMessage {}

    /** Notifies a node of a voter set that is newer than the one it sent a message in. There is no reply. */
    record VoterSetUpdate(VoterSet voterSet) implements ConsensusMessage {}

    /** Requests a page of a voter's registers: those after a key, in the order of keys. */
    record CatchUpRequest(String from, String name, long generation, long epoch, String after)
            implements ConsensusMessage {}

    /**
     * The reply to {@link CatchUpRequest}: a page, whether it is the last one, and the version up to which the voter has pruned
     * registers of versions.
     */
    record CatchUpResponse(
            String name,
            long generation,
            long epoch,
            String after,
            List<Entry> entries,
            boolean last,
            @SinceVersion(4) long versionFloor)
            implements ConsensusMessage {}

    /** Asks a voter, on behalf of one that shuts down, whether it has accepted as much; sent with what the other has accepted. */
    record HandoverRequest(String from, long generation, long epoch, List<AcceptedEntry> accepted)
            implements ConsensusMessage {}

    /** The reply to {@link HandoverRequest}: the keys for which this voter's disk has an older value or none. */
    record HandoverResponse(String name, long generation, long epoch, List<String> lacking)
            implements ConsensusMessage {}

    /** A register's key, and the number under which its value was accepted. */
    record AcceptedEntry(String key, ProposalNumber accepted) {}

    /** A register under its key. */
    record Entry(String key, Register register) {}

    /** How an acceptor replied. Written by ordinal: new constants go to the end. */
    enum Reply {
        /** Promised or accepted, and synced to disk. */
        OK,
        /** A higher proposal number is promised. */
        OUTRANKED,
        /** The sender's voter set is older than the acceptor's. */
        STALE_VOTER_SET,
        /** The acceptor doesn't vote in the sender's epoch, or not yet. */
        NOT_VOTING,
        /** The key's register was pruned. */
        PRUNED,
        /** The {@link RegisterGuard} has no capacity for the register, or doesn't accept the value. */
        REJECTED,
        /** The disk didn't take the write. */
        WRITE_FAILED
    }
}
