package spokestall.proxy;

/**
 * The value of a run-once request's register: who may send it, for which body, and how it ended. Stored by its fields' order.
 *
 * @param claimId names one act of claiming
 * @param digest the body's digest; a repeat must have the same
 * @param ticketMs the fleet's time at which the client's ticket was issued
 * @param claimedMs the fleet's time of the claim
 * @param status the upstream's status, zero unless it ran
 * @param answerDigest the digest of the upstream's response, empty unless it ran
 * @param instance the upstream that ran it, empty unless it ran
 */
public record IdempotencyClaim(
        String claimId,
        String digest,
        long ticketMs,
        long claimedMs,
        State state,
        int status,
        String answerDigest,
        String instance) {
    /** OPEN: it may have run. RAN: it ran. NOT_RUN: it did not, and may be claimed again. */
    public enum State {
        OPEN,
        RAN,
        NOT_RUN
    }

    /** The register's key. */
    public static String key(final String tenant, final String requestId) {
        return "once/" + tenant + "/" + requestId;
    }

    /** Whether a register key is a claim's. */
    public static boolean isClaimKey(final String key) {
        return key.startsWith("once/");
    }

    IdempotencyClaim withOutcome(final State to, final int endStatus, final String digestOfAnswer, final String by) {
        return new IdempotencyClaim(claimId, digest, ticketMs, claimedMs, to, endStatus, digestOfAnswer, by);
    }
}
