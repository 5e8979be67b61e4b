package spokestall.discovery;

/** What a probe found an upstream to be. */
public enum HealthStatus {
    READY,
    LEAVING,
    DOWN,
    FOREIGN
}
