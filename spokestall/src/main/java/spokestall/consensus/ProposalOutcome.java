package spokestall.consensus;

/** How a change to a register ended. */
public sealed interface ProposalOutcome {
    /** The register's chosen value, and whether this change is what it holds. */
    record Done(byte[] value, boolean wrote) implements ProposalOutcome {}

    /** Nothing was sent that could still take hold. */
    record NotDone(String why) implements ProposalOutcome {}

    /** It may have taken hold, or may yet. */
    record Undecided() implements ProposalOutcome {}

    /** The key lies below what the voters still keep. */
    record Gone() implements ProposalOutcome {}
}
