package spokestall.discovery;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads the platform's list and probes instances. Each callback runs once, on the node's event loop, at the latest soon after
 * the time-out.
 */
public interface DiscoveryClient {
    /** Reads the platform's whole list; the result is empty if it could not be had in time. */
    void listEndpoints(long timeoutMillis, Consumer<Optional<List<ListedEndpoint>>> done);

    /** Probes the instance at an address (IP and port); the result is empty if there was no valid answer in time. */
    void probe(String address, long timeoutMillis, Consumer<Optional<ProbeResult>> done);
}
