package spokestall.discovery;

/**
 * What an instance says of itself when it is probed.
 *
 * @param instance the id of the instance that answered, which may be another than was expected at the address
 * @param service the service that it belongs to
 * @param leaving whether it is shutting down
 * @param readyForMs for how long it has been ready, from which its warm-up is counted
 */
public record ProbeResult(String instance, String service, boolean leaving, long readyForMs) {}
