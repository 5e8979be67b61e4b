package spokestall.discovery;

/** The health status of an instance. Written by name and by ordinal, so neither names nor order may change. */
public enum HealthStatus {
    /** The expected instance responds and accepts requests. */
    READY(1),
    /** The expected instance responds and is shutting down. */
    LEAVING(2),
    /** Several consecutive probes failed. */
    DOWN(0),
    /** Another instance, or an instance of another service, responds at the address. */
    FOREIGN(3);

    private final int precedence;

    HealthStatus(final int precedence) {
        this.precedence = precedence;
    }

    /**
     * Returns whether this status overrides the status that another core observed. {@code READY} overrides {@code DOWN}, because
     * that core reached the instance. {@code LEAVING} and {@code FOREIGN} override both, because neither a failed nor an older
     * probe of another core refutes them.
     */
    boolean overrides(final HealthStatus other) {
        return precedence > other.precedence;
    }
}
