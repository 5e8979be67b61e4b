package spokestall.consensus;

import java.util.List;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** What proposers and voters say to each other. */
public sealed interface ConsensusMessage extends Message {
    /** Phase one, or with peek only a look at what is accepted. */
    record Prepare(
            long attemptId,
            String from,
            long generation,
            long epoch,
            String key,
            ProposalNumber proposalNumber,
            boolean peek)
            implements ConsensusMessage {}

    /** The reply to {@link Prepare}. */
    record Promise(
            long attemptId,
            String acceptor,
            String diskId,
            Reply reply,
            ProposalNumber promised,
            ProposalNumber accepted,
            byte[] value)
            implements ConsensusMessage {}

    /** Phase two. */
    record Accept(
            long attemptId,
            String from,
            long generation,
            long epoch,
            String key,
            ProposalNumber proposalNumber,
            byte[] value)
            implements ConsensusMessage {}

    /** The reply to {@link Accept}. */
    record Accepted(long attemptId, String acceptor, String diskId, Reply reply, ProposalNumber promised)
            implements ConsensusMessage {}

    /** News that a value has been chosen at a rank. */
    record Chosen(long generation, long epoch, String key, ProposalNumber proposalNumber, byte[] value)
            implements ConsensusMessage {}

    /** A table of voters, said by whoever sees that the other has an older one. */
    record VoterSetUpdate(VoterSet voterSet) implements ConsensusMessage {}

    /** A voter that lost its disk asks the others for all they have, page by page. */
    record CatchUpRequest(String from, String name, long generation, long epoch, String after)
            implements ConsensusMessage {}

    /** One page of a voter's registers, and the version up to which it has let registers of versions go. */
    record CatchUpResponse(
            String name,
            long generation,
            long epoch,
            String after,
            List<Entry> entries,
            boolean last,
            @SinceVersion(4) long floor)
            implements ConsensusMessage {}

    /** A voter that leaves asks another whether it has accepted as much; the reply names what it lacks. */
    record HandoverRequest(String from, long generation, long epoch, List<AcceptedEntry> accepted)
            implements ConsensusMessage {}

    /** The reply to {@link HandoverRequest}: the keys of which this voter has only older ranks, or none, on its disk. */
    record HandoverResponse(String name, long generation, long epoch, List<String> lacking)
            implements ConsensusMessage {}

    /** A register's key, and the rank at which its value was accepted. */
    record AcceptedEntry(String key, ProposalNumber accepted) {}

    /** One register under its key. */
    record Entry(String key, Register register) {}

    /** How a voter answered. */
    enum Reply {
        OK,
        OUTRANKED,
        STALE_VOTER_SET,
        NOT_VOTING,
        PRUNED,
        REJECTED,
        WRITE_FAILED
    }
}
