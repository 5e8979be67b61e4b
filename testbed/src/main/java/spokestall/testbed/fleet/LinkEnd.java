package spokestall.testbed.fleet;

/**
 * One end of a relayed connection. The node at this end is looked up in the kernel's tables on first use only, because the lookup reads
 * the tables of all connections and the descriptors of all nodes. Thread-safe.
 */
final class LinkEnd {
    private final LinkConditions links;
    private final int port;
    private String node;

    /** Creates the end of a known node. */
    LinkEnd(final String node) {
        this.links = null;
        this.port = 0;
        this.node = node;
    }

    /** Creates the end of the node whose process has a connection from this local port. */
    LinkEnd(final LinkConditions links, final int port) {
        this.links = links;
        this.port = port;
    }

    /** Returns the node's name, or {@code "?"} if the connection belongs to no node's process. */
    synchronized String node() {
        if (node == null) {
            node = links.nodeWithLocalPort(port);
        }
        return node;
    }
}
