package spokestall.discovery;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client for the platform's endpoint list and for probes of instances. Each callback runs exactly once, on the node's event loop,
 * at the latest shortly after the time-out.
 */
public interface DiscoveryClient {
    /** Reads the platform's complete endpoint list; the result is empty if the read fails or times out. */
    void listEndpoints(long timeoutMillis, Consumer<Optional<List<ListedEndpoint>>> done);

    /** Probes the instance at an address (IP and port); the result is empty if no valid response arrives before the time-out. */
    void probe(String address, long timeoutMillis, Consumer<Optional<ProbeResult>> done);
}
