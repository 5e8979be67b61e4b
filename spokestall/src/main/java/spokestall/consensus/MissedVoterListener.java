package spokestall.consensus;

/** Receives the voters that did not acknowledge a chosen value in time. Called on the node's event loop. */
@FunctionalInterface
public interface MissedVoterListener {
    /** Handles a voter that had not accepted the register's chosen value one attempt time-out after it was chosen. */
    void onVoterMissed(String voterName, String key);
}
