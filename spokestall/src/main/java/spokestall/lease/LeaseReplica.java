package spokestall.lease;

import spokestall.consensus.Register;

/**
 * This node's local copy of the lease's register, which may be ahead of the majority's value or behind it. The copy saves a read
 * from the majority on each tick; safety does not depend on it.
 */
public interface LeaseReplica {
    /** The replica of a node without a local copy, which reads from the majority on each tick. */
    LeaseReplica NONE = () -> null;

    /** Returns the local copy, whose value is null if there is no lease; null if this node has no usable copy now. */
    Register current();
}
