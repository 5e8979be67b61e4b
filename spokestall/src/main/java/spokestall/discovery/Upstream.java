package spokestall.discovery;

/** An upstream as an edge sees it when it elects. coldUntilMs is zero when only the beginning of its warm-up is known. */
public record Upstream(
        String instance,
        String service,
        String address,
        String zone,
        String region,
        long readySinceMs,
        int slots,
        long warmUpUntilMs) {
    /** The same, ready since then. */
    Upstream readySince(final long ms) {
        return new Upstream(instance, service, address, zone, region, ms, slots, warmUpUntilMs);
    }
}
