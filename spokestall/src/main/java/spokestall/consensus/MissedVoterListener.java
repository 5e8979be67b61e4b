package spokestall.consensus;

/** Receives voters that did not acknowledge a chosen value in time. Called on the node's event loop. */
@FunctionalInterface
public interface MissedVoterListener {
    /** Handles a voter that has not acknowledged the register's chosen value within one attempt timeout after it was chosen. */
    void onVoterMissed(String voterName, String key);
}
