package spokestall.proxy;

import java.util.List;
import spokestall.discovery.Upstream;

/** Source of the upstreams that a {@link LoadBalancer} picks from. */
public interface UpstreamSource {
    /** Returns the upstreams of a service that are ready now, in a stable order. */
    List<Upstream> readyUpstreams(String service);
}
