package spokestall.membership;

/**
 * Settings of membership on one core.
 *
 * @param configuredCores number of cores in the fleet, or 0 if the number is not configured and the seeds bootstrap the fleet
 * @param voterSetInStatus when a status carries the whole voter set instead of only its generation and epoch
 * @param timeouts timeouts and intervals
 */
public record MembershipSettings(int configuredCores, VoterSetInStatus voterSetInStatus, MembershipTimeouts timeouts) {
    /** When a status carries the voter set. */
    public enum VoterSetInStatus {
        /** In every status, for peers whose message version lacks the separate generation and epoch fields. */
        ALWAYS,
        /** Only in a status to a peer that may lack the voter set. */
        WHEN_RECIPIENT_MAY_LACK_IT
    }
}
