package spokestall.proxy;

/**
 * The value of a run-once request's register: which node may send the request, with which body, and its outcome. Stored by the
 * order of its components, which must not change. Times are on the fleet's clock.
 *
 * @param claimId the unique id of this claim
 * @param digest the digest of the request body; a repeated request must have the same body
 * @param ticketMs when the client's ticket was issued
 * @param claimedMs when the claim was made
 * @param status the HTTP status of the upstream's response, zero unless the request ran
 * @param responseDigest the digest of the upstream's response, empty unless the request ran
 * @param instance the upstream that ran the request, empty unless it ran
 */
public record IdempotencyClaim(
        String claimId,
        String digest,
        long ticketMs,
        long claimedMs,
        State state,
        int status,
        String responseDigest,
        String instance) {
    /** OPEN: the request may have run. RAN: it ran. NOT_RUN: it did not run, and may be claimed again. */
    public enum State {
        OPEN,
        RAN,
        NOT_RUN
    }

    /** Returns the key of a request's register. */
    public static String key(final String tenant, final String requestId) {
        return "once/" + tenant + "/" + requestId;
    }

    /** Whether a register key belongs to a claim. */
    public static boolean isClaimKey(final String key) {
        return key.startsWith("once/");
    }

    IdempotencyClaim withOutcome(
            final State to, final int endStatus, final String digestOfResponse, final String ranAt) {
        return new IdempotencyClaim(claimId, digest, ticketMs, claimedMs, to, endStatus, digestOfResponse, ranAt);
    }
}
