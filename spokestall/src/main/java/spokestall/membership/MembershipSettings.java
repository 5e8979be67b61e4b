package spokestall.membership;

/**
 * Settings of membership on one core.
 *
 * @param configuredCores number of cores in the fleet, or 0 if it is not configured and the seeds bootstrap the fleet
 * @param voterSetInStatus when a status carries the voter set itself and not only its generation and epoch
 * @param timeouts time-outs and intervals
 */
public record MembershipSettings(int configuredCores, VoterSetInStatus voterSetInStatus, MembershipTimeouts timeouts) {
    /** When a status carries the voter set. */
    public enum VoterSetInStatus {
        /** In every status, for peers whose message version has no generation and epoch of its own. */
        ALWAYS,
        /** Only towards a peer that may lack it. */
        WHEN_RECIPIENT_MAY_LACK_IT
    }
}
