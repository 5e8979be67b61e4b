package spokestall.lease;

import java.util.Random;
import spokestall.consensus.Proposer;
import spokestall.time.Clock;

/**
 * What a {@link LeaseManager} works with.
 *
 * @param role the singleton role whose lease it manages; its register is {@link Lease#key}
 * @param node the name of this node, as it stands in {@link Lease#holder}
 * @param proposer reads and changes the register
 * @param clock the monotonic clock of this process; no other node's clock is ever compared with it
 * @param random draws owner values and session ids
 */
public record LeaseContext(String role, String node, Proposer proposer, Clock clock, Random random) {}
