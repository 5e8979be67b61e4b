package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.VoterSet;

/**
 * Voter set and registers that a new generation starts from. Sent and stored by the order of its fields.
 *
 * @param voterSet voter set of the generation's first epoch
 * @param entries registers that each voter must store before its first vote in the generation
 */
public record InitialState(VoterSet voterSet, List<ConsensusMessage.Entry> entries) {}
