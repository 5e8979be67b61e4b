package spokestall.io.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.message.Header;
import spokestall.usage.SealedWindow;

/** How the platform that lists upstreams and takes reports is spoken to, and how an upstream tells its status. */
public interface PlatformProtocol {
    /** One page of the list; next is the target of the one after it, or null. */
    record Page(List<ListedEndpoint> endpoints, String nextTarget) {}

    /** A report as it goes out. */
    record Report(String target, List<Header> headers, byte[] body) {}

    /** The first page's target. */
    String listTarget();

    /** Reads a page, or null where it is none. */
    Page parsePage(JsonNode tree);

    /** Example: {@code protocol.report("d1-core", 17, sealed).target().equals("/usage")} */
    Report report(String holder, long token, SealedWindow window);

    /** Where an upstream tells its status. */
    String statusTarget();

    /** Reads a status, or null where it is none. */
    ProbeResult parseStatus(JsonNode tree);
}
