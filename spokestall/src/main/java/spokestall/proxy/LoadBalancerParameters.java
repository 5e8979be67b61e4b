package spokestall.proxy;

/** Parameters of a {@link LoadBalancer}; a change of the settings replaces all of them. */
public record LoadBalancerParameters(SlowStartLimits slowStart, EjectionTimes ejection, DistanceCosts distance) {
    /**
     * Rate limit of all edges together for an upstream in slow start.
     *
     * @param shares the division of the rate among the edges
     * @param rampRatio the ratio of the service's configured ramp that is used
     * @param slackPerS the rate allowed in addition to the ramp, in attempts per second
     * @param clockErrorMs the maximum difference of the fleet's clock between two nodes; extends each warm-up by as much
     */
    public record SlowStartLimits(EdgeShares shares, double rampRatio, double slackPerS, long clockErrorMs) {}

    /**
     * Durations of ejections.
     *
     * @param baseMs the duration of the first ejection; doubles with each further ejection without a response in between
     * @param maxMs the maximum duration
     */
    public record EjectionTimes(long baseMs, long maxMs) {}

    /** Costs of sending to another zone and to another region, as fractions of one slot's work. */
    public record DistanceCosts(double otherZone, double otherRegion) {}
}
