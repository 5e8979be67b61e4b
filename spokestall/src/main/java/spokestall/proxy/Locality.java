package spokestall.proxy;

import spokestall.discovery.Upstream;

/** A zone and its region. */
public record Locality(String region, String zone) {
    /** Returns the distance cost of sending from this zone to an upstream, as a fraction of one slot's work. */
    double costTo(final Upstream upstream, final LoadBalancerParameters.DistanceCosts costs) {
        if (!upstream.region().equals(region)) {
            return costs.otherRegion();
        }
        return upstream.zone().equals(zone) ? 0 : costs.otherZone();
    }
}
