package spokestall.usage;

/**
 * One incarnation of an edge, as its counts name it.
 *
 * @param name the edge's name
 * @param address where cores send acknowledgements to
 * @param incarnation of the edge's process
 */
public record EdgeIdentity(String name, String address, long incarnation) {}
