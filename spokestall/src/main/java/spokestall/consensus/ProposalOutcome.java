package spokestall.consensus;

/** Outcome of a proposal or a read of a register. */
public sealed interface ProposalOutcome {
    /**
     * The register's chosen value is known.
     *
     * @param value the chosen value; null if the register has none, which only a read or {@link RegisterEdit#LEAVE} can return
     * @param wrote whether this proposal's editor set the value in the last attempt
     */
    record Committed(byte[] value, boolean wrote) implements ProposalOutcome {}

    /** The editor's value was never proposed, and never will be by this proposal. */
    record NotCommitted(Reason reason) implements ProposalOutcome {}

    /** The editor's value was proposed: it may already be chosen, or may still be chosen later. */
    record Indeterminate() implements ProposalOutcome {}

    /** The voters have pruned the register. Its value was chosen earlier, and the register is never created again. */
    record Pruned() implements ProposalOutcome {}

    /** The reason why a proposal was not committed. */
    enum Reason {
        /** No majority replied before the deadline or within the attempt limit. */
        NO_MAJORITY_IN_TIME,
        /** A majority was out of reach, and at least one voter rejected the key or the value, or had pruned the register. */
        REJECTED
    }
}
