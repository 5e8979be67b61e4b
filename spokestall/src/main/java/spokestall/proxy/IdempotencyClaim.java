package spokestall.proxy;

/** The register of a run-once ask: who may send it, for which body, and how it ended. */
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
    public static boolean isKey(final String key) {
        return key.startsWith("once/");
    }

    IdempotencyClaim ended(final State to, final int endStatus, final String digestOfAnswer, final String by) {
        return new IdempotencyClaim(claimId, digest, ticketMs, claimedMs, to, endStatus, digestOfAnswer, by);
    }
}
