package spokestall.proxy;

import java.util.List;
import spokestall.discovery.Upstream;

/** Where a {@link LoadBalancer} takes upstreams from. */
public interface UpstreamSource {
    /** Returns the upstreams of a service that take requests now, always in the same order. */
    List<Upstream> readyUpstreams(String service);
}
