package spokestall.discovery;

import java.util.List;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/**
 * Messages by which cores share what they know of upstreams. Idempotent: each may arrive more than once and in any order.
 * Encoded by the order of their components, which must not change.
 */
public sealed interface DiscoveryMessage extends Message {
    /**
     * Entries to merge into the receiver's {@link EndpointRegistry}.
     *
     * @param listReadMs when the platform's list was last read, on the fleet's clock; zero if the message isn't about that
     */
    record Push(
            List<Endpoint> endpoints,
            List<HealthObservation> observations,
            @SinceVersion(3) long listReadMs) implements DiscoveryMessage {}
}
