package spokestall.discovery;

/** The source that determines whether a listed instance is ready. */
public enum HealthSource {
    /** The platform's list: an instance that is listed and not leaving is ready. Instances are not probed. */
    PLATFORM_LIST,
    /** The cores' probes: an instance without an unexpired observation isn't ready. */
    PROBES
}
