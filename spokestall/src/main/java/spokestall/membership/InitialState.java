package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.VoterSet;

/** What a new generation starts from: its table of voters and its first registers. */
public record InitialState(VoterSet voterSet, List<ConsensusMessage.Entry> entries) {}
