package spokestall.consensus;

/** Receives each change of an acceptor's registers. Called on the node's event loop. */
@FunctionalInterface
public interface RegisterListener {
    /**
     * Handles a register whose new state is synced to disk, before the acceptor sends the reply that rests on it. The state may
     * be a promise only, or a value that this voter accepted and no majority has: nothing here says that it is chosen.
     */
    void onRegisterSynced(String key, Register register);
}
