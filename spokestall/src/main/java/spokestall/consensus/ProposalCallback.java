package spokestall.consensus;

/** Receives the outcome of a proposal or a read. Called on the node's event loop, exactly once. */
@FunctionalInterface
public interface ProposalCallback {
    /** Handles the outcome. It may be called before the method that began the proposal returns, if the deadline is over. */
    void onOutcome(ProposalOutcome outcome);
}
