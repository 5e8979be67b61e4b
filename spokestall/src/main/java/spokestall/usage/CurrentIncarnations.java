package spokestall.usage;

/** Which incarnation of each edge is present. */
@FunctionalInterface
public interface CurrentIncarnations {
    /** The edge's present incarnation, or null if none is known. */
    Long of(String edge);
}
