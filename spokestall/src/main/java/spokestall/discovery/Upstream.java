package spokestall.discovery;

/** An upstream as an edge sees it when it elects. coldUntilMs is zero when only the beginning of its warm-up is known. */
public record Upstream(
        String instance,
        String service,
        String address,
        String district,
        String region,
        long readySinceMs,
        int slots,
        long coldUntilMs) {
    /** The same, ready since then. */
    Upstream readySince(final long ms) {
        return new Upstream(instance, service, address, district, region, ms, slots, coldUntilMs);
    }
}
