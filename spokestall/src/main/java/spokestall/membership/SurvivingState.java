package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;

/** What a node still has after a loss: numbers it has seen, its configuration as a snapshot, and a voter's registers. */
public record SurvivingState(
        String name,
        long generation,
        long configurationVersion,
        byte[] configuration,
        long token,
        boolean hasState,
        List<ConsensusMessage.Entry> registers) {}
