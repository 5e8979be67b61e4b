package spokestall.lease;

/** The register of a duty: a fresh owner value per acquisition, how often it was renewed, and the fence token. */
public record Lease(String owner, String holder, long renewal, long token, long spanMs, boolean released) {
    /** The register's key. */
    public static String key(final String duty) {
        return "duty/" + duty;
    }
}
