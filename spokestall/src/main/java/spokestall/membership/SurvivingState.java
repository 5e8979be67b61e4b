package spokestall.membership;

import java.util.List;
import spokestall.consensus.ConsensusMessage;

/**
 * State that a node retains after a loss and contributes to a new generation. Sent by the order of its fields.
 *
 * @param name name of the node
 * @param generation generation of the voter set that the node knows, or 0 if it knows none
 * @param configurationVersion version of the node's configuration, or 0 if it has none
 * @param configuration snapshot of that configuration, or null if the version is 0
 * @param fencingToken highest fencing token that the node has stored
 * @param hasState whether the node is a voter of that generation with complete state on its disk
 * @param registers registers of the node; empty unless {@code hasState}
 */
public record SurvivingState(
        String name,
        long generation,
        long configurationVersion,
        byte[] configuration,
        long fencingToken,
        boolean hasState,
        List<ConsensusMessage.Entry> registers) {}
