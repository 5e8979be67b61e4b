package spokestall.proxy;

/** How a {@link LoadBalancer} picks; renewed as a whole with the settings. */
public record LoadBalancerParameters(SlowStartLimits slowStart, EjectionTimes ejection, DistanceCosts distance) {
    /**
     * How fast all edges together send to an upstream that is warming up.
     *
     * @param shares how the rate is divided among the edges
     * @param rampRatio the part of the service's ramp that is used
     * @param slackPerS what is allowed besides, in attempts a second
     * @param clockErrorMs by how much the fleet's clock may differ between two nodes: a warm-up is taken to last that much longer
     */
    public record SlowStartLimits(EdgeShares shares, double rampRatio, double slackPerS, long clockErrorMs) {}

    /**
     * For how long an upstream is ejected.
     *
     * @param baseMs the first time; doubled each time that it fails again without an answer in between
     * @param maxMs at most
     */
    public record EjectionTimes(long baseMs, long maxMs) {}

    /** What it costs to leave the zone and to leave the region, as a part of a slot's work. */
    public record DistanceCosts(double otherZone, double otherRegion) {}
}
