package spokestall.discovery;

import spokestall.message.SinceVersion;

/**
 * The registry's entry for one instance of a service. Immutable. Messages encode it by the order of its components, which must
 * not change. All times are on the fleet's clock.
 *
 * @param instance the instance's id, unique among all services
 * @param service the service of the instance
 * @param address the IP and port where the instance accepts requests
 * @param zone the instance's zone
 * @param region the instance's region, empty if unknown
 * @param present whether the platform lists the instance; its entry is kept for a while after it disappears from the list
 * @param leaving whether the platform reports that the instance is shutting down
 * @param timestampMs when the list that this entry comes from was read; the entry with the newest timestamp wins
 * @param warmUpUntilMs when the instance's warm-up ends, zero if the platform doesn't report it
 * @param firstListedMs when the instance was first listed, zero in entries from nodes that don't send it
 * @param slots how many requests the instance processes concurrently, zero if the platform doesn't report it
 */
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
    /** Returns this entry as absent from a list that was read at the given time. */
    Endpoint absentAt(final long readMs) {
        return new Endpoint(
                instance,
                service,
                address,
                zone,
                region,
                false,
                leaving,
                readMs,
                warmUpUntilMs,
                earliestListedMs(),
                slots);
    }

    /** Returns this entry with the given time of its first listing. */
    Endpoint firstListedAt(final long listedMs) {
        return new Endpoint(
                instance,
                service,
                address,
                zone,
                region,
                present,
                leaving,
                timestampMs,
                warmUpUntilMs,
                listedMs,
                slots);
    }

    /** Returns the earliest time at which the instance is known to have been listed, according to this entry. */
    long earliestListedMs() {
        return firstListedMs == 0 ? timestampMs : firstListedMs;
    }
}
