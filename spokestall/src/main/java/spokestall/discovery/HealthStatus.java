package spokestall.discovery;

/** What a probe finds an instance to be. Written by name and by ordinal: neither names nor order may change. */
public enum HealthStatus {
    /** It answers as the expected instance and takes requests. */
    READY(1),
    /** It answers as the expected instance and is shutting down. */
    LEAVING(2),
    /** It didn't answer several probes in a row. */
    DOWN(0),
    /** Another instance, or one of another service, answers at its address. */
    FOREIGN(3);

    private final int precedence;

    HealthStatus(final int precedence) {
        this.precedence = precedence;
    }

    /**
     * Returns whether this counts if another core observed the other status: who saw it ready reached it, so that beats
     * {@code DOWN}; who saw it leaving or replaced knows something that no unanswered or older probe refutes.
     */
    boolean overrides(final HealthStatus other) {
        return precedence > other.precedence;
    }
}
