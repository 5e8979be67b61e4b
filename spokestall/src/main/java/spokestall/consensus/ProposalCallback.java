package spokestall.consensus;

/** Receives the outcome of a proposal or a read. Called on the node's event loop, exactly once. */
@FunctionalInterface
public interface ProposalCallback {
    /** Handles the outcome. Called before the method that starts the proposal returns if the deadline has already passed. */
    void onOutcome(ProposalOutcome outcome);
}
