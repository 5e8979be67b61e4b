package spokestall.io.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.message.Header;
import spokestall.usage.SealedWindow;

/**
 * The HTTP format of a platform, which lists upstream endpoints and receives usage reports, and of the status that an upstream
 * returns to a probe.
 */
public interface PlatformProtocol {
    /** One page of the endpoint list; {@code nextTarget} is the request target of the next page, null on the last one. */
    record Page(List<ListedEndpoint> endpoints, String nextTarget) {}

    /** The HTTP request for a usage report. */
    record Report(String target, List<Header> headers, byte[] body) {}

    /** Returns the request target of the endpoint list's first page. */
    String listTarget();

    /** Parses a page of the endpoint list; returns null if the document is not one. */
    Page parsePage(JsonNode tree);

    /**
     * Returns the request that reports a sealed window.
     *
     * @param holder the node that holds the lease for usage reports
     * @param token the fencing token of its current lease session
     */
    Report report(String holder, long token, SealedWindow sealed);

    /** Returns the request target of a cheap call that the platform answers, by which the link to it is checked. */
    String linkCheckTarget();

    /** Returns the request target at which an upstream returns its status. */
    String statusTarget();

    /** Parses an upstream's status; returns null if the document is not one. */
    ProbeResult parseStatus(JsonNode tree);
}
