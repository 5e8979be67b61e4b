package spokestall.testbed.fleet;

/**
 * One end of a relayed connection. Whose it is, is looked up in the kernel's tables when it is first asked for, since that reads the
 * tables of all connections and of all nodes' descriptors. Thread-safe.
 */
final class LinkEnd {
    private final LinkConditions links;
    private final int port;
    private String node;

    /** The end that a node has. */
    LinkEnd(final String node) {
        this.links = null;
        this.port = 0;
        this.node = node;
    }

    /** The end of whichever node's process has a connection from this local port. */
    LinkEnd(final LinkConditions links, final int port) {
        this.links = links;
        this.port = port;
    }

    /** Returns the node's name, or {@code "?"} if no node's process has the connection. */
    synchronized String node() {
        if (node == null) {
            node = links.nodeWithLocalPort(port);
        }
        return node;
    }
}
