package spokestall.usage;

/**
 * The identity of an edge that its counts are sent under.
 *
 * @param name the edge's name
 * @param address the address to which cores send acknowledgements
 * @param incarnation the incarnation of the edge's process
 */
public record EdgeIdentity(String name, String address, long incarnation) {}
