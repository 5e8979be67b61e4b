package spokestall.proxy;

/**
 * How a deployment's clients send requests, and what they expect.
 *
 * @param keyed each request must have a key, by which its tenant is found; otherwise a route may be open
 * @param claims a run-once request may be sent again and is claimed first; otherwise clients never send one twice
 * @param homeEdges an edge takes requests only in the home regions of their tenant
 * @param holdsEdges edges in a drained zone take no requests
 * @param unsentFree an attempt after one that was never sent is no retry; otherwise each further attempt is one
 * @param any500 any status of 500 or above fails an idempotent attempt, not only 502 and 503
 */
public record RequestConventions(
        boolean keyed, boolean claims, boolean homeEdges, boolean holdsEdges, boolean unsentFree, boolean any500) {}
