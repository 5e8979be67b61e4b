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

    /** The register's key. Example: {@code IdempotencyClaim.key("tenant-1", "pay-17")} */
    public static String key(final String tenant, final String askId) {
        return "once/" + tenant + "/" + askId;
    }

    /** Whether a register key is a claim's. Example: {@code IdempotencyClaim.isKey("once/t/1")} */
    public static boolean isKey(final String key) {
        return key.startsWith("once/");
    }

    IdempotencyClaim ended(final State to, final int endStatus, final String digestOfAnswer, final String by) {
        return new IdempotencyClaim(claimId, digest, ticketMs, claimedMs, to, endStatus, digestOfAnswer, by);
    }
}
