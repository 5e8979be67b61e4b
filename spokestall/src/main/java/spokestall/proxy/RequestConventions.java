package spokestall.proxy;

/**
 * How asks are taken, as the deployment's clients need it. Keyed: each must have a key, and is looked up by it; else a
 * route may be open. Claims: a run-once ask may come twice and is claimed before it is sent; else its clients never
 * send one twice. HomeEdges: it is taken only in its tenant's home regions. HoldsEdges: a held zone's edges take none.
 * Any500: an answer of 500 or above to what may be repeated is trouble, not only 502 and 503.
 * UnsentFree: a further go after one that was never sent is no retry; else each further go is one.
 */
public record RequestConventions(
        boolean keyed, boolean claims, boolean homeEdges, boolean holdsEdges, boolean unsentFree, boolean any500) {}
