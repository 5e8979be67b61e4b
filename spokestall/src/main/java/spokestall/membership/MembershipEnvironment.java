package spokestall.membership;

import java.util.List;

/** What membership needs of the node around it. All calls are made on the node's event loop. */
public interface MembershipEnvironment {
    /** What this node could contribute to a new generation at this moment. */
    SurvivingState survivingState();

    /** Addresses of all other nodes known, cores and edges. */
    List<String> otherNodeAddresses();

    /** Addresses of the other cores known. */
    List<String> otherCoreAddresses();

    /** A disk identity that was never used before; each call draws a new one. */
    String freshDiskId();

    /** Whether the fleet clock has settled. No generation is begun before, since its number is taken from that clock. */
    boolean isFleetClockSettled();
}
