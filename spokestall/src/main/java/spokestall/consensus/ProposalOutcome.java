package spokestall.consensus;

/** How a change to a register ended. */
public sealed interface ProposalOutcome {
    /** The register's chosen value, and whether this change is what it holds. */
    record Committed(byte[] value, boolean wrote) implements ProposalOutcome {}

    /** Nothing was sent that could still take hold. */
    record NotCommitted(String why) implements ProposalOutcome {}

    /** It may have taken hold, or may yet. */
    record Indeterminate() implements ProposalOutcome {}

    /** The key lies below what the voters still keep. */
    record Pruned() implements ProposalOutcome {}
}
