package spokestall.discovery;

import spokestall.message.SinceVersion;

/** An upstream as the platform lists it. coldUntilMs is when it will have warmed up, on the fleet's clock, zero when the
 * list doesn't tell; sinceMs is when it was first listed; slots is how many asks it works on at a time, zero when that isn't
 * told. What reads the list gives coldUntilMs as the span still left, or a negative one when it isn't known. */
public record Endpoint(
        String instance,
        String service,
        String address,
        String zone,
        String region,
        boolean present,
        boolean leaving,
        long timestampMs,
        @SinceVersion(3) long warmUpUntilMs,
        @SinceVersion(3) long firstListedMs,
        @SinceVersion(3) int slots) {
    /** An entry as it was read. */
    public static Endpoint read(
            final String instance,
            final String service,
            final String address,
            final String zone,
            final String region,
            final boolean leaving,
            final long warmUpForMs,
            final int slots) {
        return new Endpoint(instance, service, address, zone, region, true, leaving, 0, warmUpForMs, 0, slots);
    }

    /** The same, stamped. */
    Endpoint at(final boolean there, final long ms, final long warmUpUntil, final long since) {
        return new Endpoint(instance, service, address, zone, region, there, leaving, ms, warmUpUntil, since, slots);
    }

    /** When it was first listed, as far as is known. */
    long firstMs() {
        return firstListedMs == 0 ? timestampMs : firstListedMs;
    }
}
