package spokestall.proxy;

import java.util.List;
import spokestall.message.Header;

/**
 * One attempt to send a request to an upstream.
 *
 * @param requestId the request id from the client
 * @param tenant the tenant's name, null on a route without keys
 * @param instance the id of the upstream's instance, which must be the one that responds at the address
 * @param target the request target as the client sent it
 * @param timeoutMillis the attempt's time-out
 * @param responseMaxBytes the maximum length of the response body
 * @param idempotent whether the request may be sent more than once
 */
public record Attempt(
        String requestId,
        String tenant,
        String instance,
        String service,
        String address,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        long timeoutMillis,
        int responseMaxBytes,
        boolean idempotent) {}
