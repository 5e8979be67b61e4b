package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;

/**
 * What a node still has after a loss, as its contribution to a new generation. Sent by the order of its fields.
 *
 * @param name name of the node
 * @param generation generation of the voter set that the node knows, 0 if none
 * @param configurationVersion version of its configuration, 0 if none
 * @param configuration snapshot of that configuration, or null if the version is 0
 * @param fencingToken highest fencing token that it has stored
 * @param hasState whether it is a voter of that generation with complete state on its disk
 * @param registers its registers; empty unless it has state
 */
public record SurvivingState(
        String name,
        long generation,
        long configurationVersion,
        byte[] configuration,
        long fencingToken,
        boolean hasState,
        List<ConsensusMessage.Entry> registers) {}
