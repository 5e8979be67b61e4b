package spokestall.membership;

/**
 * Time-outs and intervals of membership, in milliseconds.
 *
 * @param statusFreshMillis age up to which a peer's last status counts as current
 * @param settleMillis how long a recovery waits for stragglers once every voter of the set has a current status, and in each of its phases
 * @param waitForAllMillis how long a recovery waits before it starts while some voter of the set has no current status
 * @param roundMillis upper bound of a round trip with its disk writes; also staggers cores that would start at the same time
 * @param statusIntervalMillis how often a core with nothing in progress sends its status
 * @param silentAfterMillis after this silence the slot of a voter may be given to a joining core
 * @param removableAfterMillis after this silence a voter may be removed without a replacement
 */
public record MembershipTimeouts(
        long statusFreshMillis,
        long settleMillis,
        long waitForAllMillis,
        long roundMillis,
        long statusIntervalMillis,
        long silentAfterMillis,
        long removableAfterMillis) {}
