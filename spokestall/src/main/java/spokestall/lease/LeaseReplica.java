package spokestall.lease;

import spokestall.consensus.Register;

/**
 * This node's own copy of the lease's register, which may be ahead of the store or behind it. It saves reading the store on each
 * tick; safety does not depend on it.
 */
public interface LeaseReplica {
    /** A node without a copy, which reads the store on each tick. */
    LeaseReplica NONE = () -> null;

    /** The register as stored here, its value null if there is no lease; or null if this node has no copy to go by now. */
    Register current();
}
