package spokestall.discovery;

import java.util.List;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** What cores tell each other of upstreams; any of it may come twice or in any order. */
public sealed interface DiscoveryMessage extends Message {
    /** Entries to merge, and when the platform's list was last read, zero when that isn't told. */
    record Push(
            List<Endpoint> endpoints,
            List<HealthObservation> observations,
            @SinceVersion(3) long listReadMs) implements DiscoveryMessage {}
}
