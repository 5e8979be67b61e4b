package spokestall.membership;

/**
 * Timeouts and intervals of the membership state machines, in milliseconds.
 *
 * @param statusFreshMillis maximum age at which a peer's last status still counts as current
 * @param settleMillis how long a recovery waits for late statuses once every voter has a current one, and for late replies while
 *     it collects surviving state and promises
 * @param waitForAllMillis how long a recovery waits before it starts while at least one voter has no current status
 * @param roundMillis upper bound of a round trip including disk writes; also the delay between cores, by rank, that would otherwise
 *     start a recovery at the same time
 * @param statusIntervalMillis interval at which a core sends its status while nothing changes
 * @param silentAfterMillis silence after which a joining core may take the slot of a voter
 * @param removableAfterMillis silence after which a voter may be removed without a replacement
 */
public record MembershipTimeouts(
        long statusFreshMillis,
        long settleMillis,
        long waitForAllMillis,
        long roundMillis,
        long statusIntervalMillis,
        long silentAfterMillis,
        long removableAfterMillis) {}
