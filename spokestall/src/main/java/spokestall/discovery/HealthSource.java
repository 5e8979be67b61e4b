package spokestall.discovery;

/** Where it is taken from whether a listed instance is ready. */
public enum HealthSource {
    /** From the platform's list: what is listed and not leaving is ready. Nothing is probed. */
    PLATFORM_LIST,
    /** From the cores' probes; what no core has observed of late isn't ready. */
    PROBES
}
