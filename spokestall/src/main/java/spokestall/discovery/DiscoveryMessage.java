package spokestall.discovery;

import java.util.List;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/**
 * Messages with which cores share endpoints and health observations. Receivers handle them idempotently: a message may arrive
 * more than once and in any order. Encoded by the order of their components, which must not change.
 */
public sealed interface DiscoveryMessage extends Message {
    /**
     * Entries to merge into the receiver's {@link EndpointRegistry}.
     *
     * @param listReadMs when the sender last read the platform's list, on the fleet's clock; zero if the message doesn't report a
     *     read
     */
    record Push(
            List<Endpoint> endpoints,
            List<HealthObservation> observations,
            @SinceVersion(3) long listReadMs) implements DiscoveryMessage {}
}
