package spokestall.discovery;

/**
 * The response of an instance to a probe.
 *
 * @param instance the id of the instance that responded, which may differ from the one expected at the address
 * @param service the service of the instance
 * @param leaving whether the instance is shutting down
 * @param readyForMs how long the instance has been ready, which is the elapsed time of its warm-up
 */
public record ProbeResult(String instance, String service, boolean leaving, long readyForMs) {}
