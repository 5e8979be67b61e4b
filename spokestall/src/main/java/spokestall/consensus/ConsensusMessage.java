package spokestall.consensus;

import java.util.List;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/**
 * The messages between proposers and acceptors, and among acceptors. Messages are encoded by the order of their fields, and
 * {@link Reply} by its ordinal.
 *
 * <p>Any message may be lost, delayed, reordered or delivered twice. {@code from} is the address to which the receiver sends its
 * reply; the generation and the epoch are those of the sender's voter set. Replies carry the {@code attemptId} of their request.
 */
public sealed interface ConsensusMessage extends Message {
    /** Requests the promise of a proposal number; with {@code peek} only the accepted value, without changing the register. */
    record Prepare(
            long attemptId,
            String from,
            long generation,
            long epoch,
            String key,
            ProposalNumber proposalNumber,
            boolean peek)
            implements ConsensusMessage {}

    /** The reply to {@link Prepare}: the register's synced state. The value is null unless the reply is OK. */
    record Promise(
            long attemptId,
            String acceptor,
            String diskId,
            Reply reply,
            ProposalNumber promised,
            ProposalNumber accepted,
            byte[] value)
            implements ConsensusMessage {}

    /** Requests the acceptance of a value under a proposal number. */
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

    /** Notifies a node that used an older voter set of the sender's newer one. There is no reply. */
    record VoterSetUpdate(VoterSet voterSet) implements ConsensusMessage {}

    /** Requests a page of a voter's registers: those whose keys follow {@code afterKey}, ordered by key. */
    record CatchUpRequest(String from, String name, long generation, long epoch, String afterKey)
            implements ConsensusMessage {}

    /**
     * The reply to {@link CatchUpRequest}: a page, whether it is the last one, and the version up to which the voter has pruned
     * version registers.
     */
    record CatchUpResponse(
            String name,
            long generation,
            long epoch,
            String afterKey,
            List<Entry> entries,
            boolean lastPage,
            @SinceVersion(4) long versionFloor)
            implements ConsensusMessage {}

    /** Lists what a voter that shuts down has accepted; requests the keys for which the receiver has an older value or none. */
    record HandoverRequest(String from, long generation, long epoch, List<AcceptedEntry> acceptedEntries)
            implements ConsensusMessage {}

    /** The reply to {@link HandoverRequest}: the keys for which the replying voter's disk has an older value or none. */
    record HandoverResponse(String name, long generation, long epoch, List<String> outdatedKeys)
            implements ConsensusMessage {}

    /** A register's key and the proposal number under which its value was accepted. */
    record AcceptedEntry(String key, ProposalNumber accepted) {}

    /** A register and its key. */
    record Entry(String key, Register register) {}

    /** The result that an acceptor replies with. Encoded by ordinal: add new constants at the end. */
    enum Reply {
        /** The acceptor has promised or accepted, and has synced that to disk. */
        OK,
        /** The acceptor has promised a higher proposal number. */
        OUTRANKED,
        /** The sender's voter set is older than the acceptor's. */
        STALE_VOTER_SET,
        /** The acceptor doesn't vote in the sender's epoch, at least not yet. */
        NOT_VOTING,
        /** The acceptor has pruned the register. */
        PRUNED,
        /** The {@link RegisterGuard} has no capacity for the register, or doesn't accept the value. */
        REJECTED,
        /** The write to the acceptor's disk failed. */
        WRITE_FAILED
    }
}
