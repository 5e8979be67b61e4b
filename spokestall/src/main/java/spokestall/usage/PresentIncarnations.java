package spokestall.usage;

/** Which incarnation of each edge is present. */
@FunctionalInterface
public interface PresentIncarnations {
    /** The edge's present incarnation, or null if none is known. */
    Long of(String edge);
}
