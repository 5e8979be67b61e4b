package spokestall.lease;

import java.util.function.UnaryOperator;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;

/** The changes of the lease's register, each a compare-and-set on the lease's owner. */
final class LeaseEdits {
    private LeaseEdits() {}

    /** Returns the lease that a register's value encodes; null for an absent lease. */
    static Lease decode(final byte[] value) {
        return value == null ? null : MessageCodec.decodeRecord(value, Lease.class);
    }

    /**
     * Sets a new lease if the current one is free: absent, released, or unchanged since it was observed to expire.
     *
     * @param acquired the new lease, which gets a fencing token above the current one's
     * @param expired the lease as it was observed to expire; null if it was absent
     * @param firstNumber the first number of the voter set's generation, below all of its fencing tokens
     */
    static RegisterEdit acquire(final byte[] value, final Lease acquired, final Lease expired, final long firstNumber) {
        final Lease current = decode(value);
        if (current != null && current.owner().equals(acquired.owner())) {
            return new RegisterEdit.Set(value);
        }
        final boolean unchangedSinceObserved = current != null
                && expired != null
                && current.owner().equals(expired.owner())
                && current.renewal() == expired.renewal();
        if (current != null && !current.released() && !unchangedSinceObserved) {
            return RegisterEdit.LEAVE;
        }
        final long fencingToken = Math.max(current == null ? 0 : current.fencingToken(), firstNumber) + 1;
        return new RegisterEdit.Set(MessageCodec.encodeRecord(acquired.withFencingToken(fencingToken)));
    }

    /** Applies the change if the lease still has this owner and is not released; otherwise leaves it unchanged. */
    static RegisterEdit ifOwned(final byte[] value, final String owner, final UnaryOperator<Lease> change) {
        final Lease current = decode(value);
        final boolean owned = current != null && current.owner().equals(owner) && !current.released();
        return owned ? new RegisterEdit.Set(MessageCodec.encodeRecord(change.apply(current))) : RegisterEdit.LEAVE;
    }
}
