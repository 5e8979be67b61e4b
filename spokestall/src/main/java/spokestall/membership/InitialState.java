package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.VoterSet;

/**
 * What a new generation starts from. Sent and stored by the order of its fields.
 *
 * @param voterSet voter set of the generation's first epoch
 * @param entries registers that each voter holds before its first vote
 */
public record InitialState(VoterSet voterSet, List<ConsensusMessage.Entry> entries) {}
