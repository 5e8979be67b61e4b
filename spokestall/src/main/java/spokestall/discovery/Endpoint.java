package spokestall.discovery;

import spokestall.message.SinceVersion;

/** An upstream as the platform lists it. coldUntilMs is when it will have warmed up, on the fleet's clock, zero when the
 * list doesn't tell; sinceMs is when it was first listed; slots is how many asks it works on at a time, zero when that isn't
 * told. What reads the list gives coldUntilMs as the span still left, or a negative one when it isn't known. */
public record Endpoint(
        String instance,
        String service,
        String address,
        String district,
        String region,
        boolean present,
        boolean leaving,
        long stampMs,
        @SinceVersion(3) long coldUntilMs,
        @SinceVersion(3) long sinceMs,
        @SinceVersion(3) int slots) {
    /** An entry as it was read. Example: {@code Endpoint.read("i1", "records", "10.0.0.1:80", "d1", "r1", false, -1, 0)} */
    public static Endpoint read(
            final String instance,
            final String service,
            final String address,
            final String district,
            final String region,
            final boolean leaving,
            final long coldForMs,
            final int slots) {
        return new Endpoint(instance, service, address, district, region, true, leaving, 0, coldForMs, 0, slots);
    }

    /** The same, stamped. Example: {@code listed.at(true, askedMs, 0, firstMs)} */
    Endpoint at(final boolean there, final long ms, final long coldUntil, final long since) {
        return new Endpoint(instance, service, address, district, region, there, leaving, ms, coldUntil, since, slots);
    }

    /** When it was first listed, as far as is known. */
    long firstMs() {
        return sinceMs == 0 ? stampMs : sinceMs;
    }
}
