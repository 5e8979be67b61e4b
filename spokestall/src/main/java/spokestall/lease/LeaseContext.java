package spokestall.lease;

import java.util.Random;
import spokestall.consensus.Proposer;
import spokestall.time.Clock;

/**
 * The dependencies of a {@link LeaseManager}.
 *
 * @param role the singleton role of the lease; {@link Lease#key} returns the key of its register
 * @param node the name of this node, as used in {@link Lease#holder}
 * @param proposer reads and changes the register
 * @param clock the monotonic clock of this process, which is never compared with another node's clock
 * @param random the source of owner values and session ids
 */
public record LeaseContext(String role, String node, Proposer proposer, Clock clock, Random random) {}
