package spokestall.consensus;

/** Receives each synced change of an acceptor's registers. Called on the node's event loop. */
@FunctionalInterface
public interface RegisterListener {
    /**
     * Handles a register whose new state is synced to disk, before the acceptor sends the reply that depends on it. The change
     * may be only a promise, or a value that this voter accepted but no majority has; a call doesn't imply that the value is
     * chosen.
     */
    void onRegisterSynced(String key, Register register);
}
