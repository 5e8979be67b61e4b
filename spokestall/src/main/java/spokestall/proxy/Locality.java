package spokestall.proxy;

import spokestall.discovery.Upstream;

/** A place in the fleet: a zone and the region that the zone is in. */
public record Locality(String region, String zone) {
    /** Returns what it costs to send from here to an upstream, as a part of a slot's work. */
    double costTo(final Upstream upstream, final LoadBalancerParameters.DistanceCosts costs) {
        if (!upstream.region().equals(region)) {
            return costs.otherRegion();
        }
        return upstream.zone().equals(zone) ? 0 : costs.otherZone();
    }
}
