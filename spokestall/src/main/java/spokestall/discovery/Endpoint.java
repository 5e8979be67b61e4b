package spokestall.discovery;

import spokestall.message.SinceVersion;

/**
 * The registry's entry for one instance of a service. Immutable; part of numbered messages, so the order of its components must
 * not change. All times are on the fleet's clock.
 *
 * @param instance the instance's id, unique among all services
 * @param service the service that it belongs to
 * @param address IP and port where it takes requests
 * @param zone its zone
 * @param region its region, empty if it isn't known
 * @param present whether the platform lists it; an entry stays for a while after it is no more listed
 * @param leaving whether the platform says that it is shutting down
 * @param timestampMs when the list was read that this entry is from; the newest one of an instance wins
 * @param warmUpUntilMs when its warm-up ends, zero if the platform doesn't say
 * @param firstListedMs when it was first listed, zero in entries of nodes that don't send it
 * @param slots how many requests it works on at a time, zero if the platform doesn't say
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
    /** Returns this entry as no longer listed, by a list that was read then. */
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

    /** Returns this entry as first listed then. */
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

    /** Returns the earliest time at which this entry shows the instance to have been listed. */
    long earliestListedMs() {
        return firstListedMs == 0 ? timestampMs : firstListedMs;
    }
}
