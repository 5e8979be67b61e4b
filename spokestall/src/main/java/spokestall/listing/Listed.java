package spokestall.listing;

import spokestall.wire.Since;

/** An upstream as the platform lists it: until when it is cold on the fleet's clock, and how many asks it works on at a
 * time; both are zero where that is not told. */
public record Listed(String instance, String service, String address, String district, String region,
        boolean present, boolean leaving, long stampMs, @Since(3) long coldUntilMs, @Since(3) int slots) {
    /** As one with no word on warmth or slots. Example: {@code new Listed("i-1", "pay", at, "d1", "r1", true, false, 0)} */
    public Listed(final String instance, final String service, final String address, final String district,
            final String region, final boolean present, final boolean leaving, final long stampMs) {
        this(instance, service, address, district, region, present, leaving, stampMs, 0, 0);
    }

    /** The same, as it was seen at a time. Example: {@code listed.seen(true, fleet.nowMs())} */
    public Listed seen(final boolean there, final long atMs) {
        return new Listed(instance, service, address, district, region, there, leaving, atMs, coldUntilMs, slots);
    }
}
