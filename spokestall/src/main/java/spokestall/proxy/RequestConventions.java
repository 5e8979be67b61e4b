package spokestall.proxy;

/**
 * Request handling options that depend on how a deployment's clients send requests.
 *
 * @param keyed whether each request must have an API key, which identifies its tenant; otherwise a route may be open
 * @param claims whether a run-once request is claimed before it is sent, because clients may repeat it; otherwise clients must
 *     never repeat one
 * @param homeEdges whether an edge serves a tenant's requests only in the tenant's home regions
 * @param holdsEdges whether edges in a drained zone reject requests
 * @param unsentFree whether an attempt after an unsent one is free; otherwise each attempt after the first counts as a retry
 * @param any500 whether each status of 500 or above fails an idempotent attempt; otherwise only 502 and 503 do
 */
public record RequestConventions(
        boolean keyed, boolean claims, boolean homeEdges, boolean holdsEdges, boolean unsentFree, boolean any500) {}
