package spokestall.testbed.fleet;

/**
 * How many nodes a fleet has, and how they reach each other.
 *
 * @param zones how many zones there are, with a core each
 * @param edgesPerZone how many edges each zone has
 * @param links how messages get from one node to another
 * @param delayMs how long a relayed piece is on its way; without relays of no effect
 */
public record FleetLayout(int zones, int edgesPerZone, Links links, long delayMs) {
    /** How messages get from one node to another. */
    public enum Links {
        /** Each node listens at its own address. Nothing can be cut or delayed; bears hundreds of nodes. */
        DIRECT,
        /** A relay stands before each node, with two threads for each connection. */
        RELAYED
    }

    /** A zone's core and one edge each, with relays. */
    public static FleetLayout relayed(final int zones, final long delayMs) {
        return new FleetLayout(zones, 1, Links.RELAYED, delayMs);
    }

    /** Nodes that reach each other directly. */
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
