package spokestall.consensus;

/** How a proposal or a read of a register ended. */
public sealed interface ProposalOutcome {
    /**
     * A value is chosen.
     *
     * @param value the register's chosen value; null if it has none, which only a read and {@link RegisterEdit#LEAVE} give
     * @param wrote whether the value is the one that this proposal's editor set in its last attempt
     */
    record Committed(byte[] value, boolean wrote) implements ProposalOutcome {}

    /** The editor's value was never proposed, and never will be by this proposal. */
    record NotCommitted(Reason reason) implements ProposalOutcome {}

    /** The editor's value was proposed: it may be chosen already, or later. */
    record Indeterminate() implements ProposalOutcome {}

    /** The register's key is one that the voters have pruned. Its value was chosen long ago, and it is never created anew. */
    record Pruned() implements ProposalOutcome {}

    /** Why nothing was committed. */
    enum Reason {
        /** The deadline passed, or the attempts were used up, without a majority. */
        NO_MAJORITY_IN_TIME,
        /** So many voters rejected the key or the value that no majority is left. */
        REJECTED
    }
}
