package spokestall.testbed.fleet;

/**
 * The number of nodes of a fleet and the links between them.
 *
 * @param zones the number of zones, each with one core
 * @param edgesPerZone the number of edges in each zone
 * @param links how nodes connect to each other
 * @param delayMs the delay of each relayed chunk; ignored without relays
 */
public record FleetLayout(int zones, int edgesPerZone, Links links, long delayMs) {
    /** How nodes connect to each other. */
    public enum Links {
        /** Each node listens at its own address. Links can't be cut or delayed; suitable for hundreds of nodes. */
        DIRECT,
        /** A relay in front of each node uses two threads for each connection. */
        RELAYED
    }

    /** Returns a layout with one core and one edge in each zone, connected by relays. */
    public static FleetLayout relayed(final int zones, final long delayMs) {
        return new FleetLayout(zones, 1, Links.RELAYED, delayMs);
    }

    /** Returns a layout whose nodes connect to each other directly. */
    public static FleetLayout direct(final int zones, final int edgesPerZone) {
        return new FleetLayout(zones, edgesPerZone, Links.DIRECT, 0);
    }

    /** Returns the number of cores and edges. */
    public int nodes() {
        return zones * (1 + edgesPerZone);
    }

    int edges() {
        return zones * edgesPerZone;
    }
}
