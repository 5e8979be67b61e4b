package spokestall.usage;

/** Looks up the current incarnation of an edge. */
@FunctionalInterface
public interface CurrentIncarnations {
    /** Returns the edge's current incarnation, or null if it is unknown. */
    Long of(String edge);
}
