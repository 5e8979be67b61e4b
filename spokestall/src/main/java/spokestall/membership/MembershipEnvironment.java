package spokestall.membership;

import java.util.List;

/** Callbacks from membership to the node that runs it. All calls are made on the node's event loop. */
public interface MembershipEnvironment {
    /** Returns the state that this node could contribute to a new generation now. */
    SurvivingState survivingState();

    /** Returns the addresses of all other known nodes, cores and edges. */
    List<String> otherNodeAddresses();

    /** Returns the addresses of the other known cores. */
    List<String> otherCoreAddresses();

    /** Generates a disk identity that was never used before. */
    String freshDiskId();

    /** Whether the fleet clock has settled. No generation starts earlier, since generation numbers are taken from that clock. */
    boolean isFleetClockSettled();
}
