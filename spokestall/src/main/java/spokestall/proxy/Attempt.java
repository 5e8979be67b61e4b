package spokestall.proxy;

import java.util.List;
import spokestall.message.Header;

/**
 * One attempt to have an upstream answer a request.
 *
 * @param requestId the client's id of the request
 * @param tenant null on an open route
 * @param instance the upstream's instance, which must be the one that answers at the address
 * @param target the request target as the client sent it
 * @param waitMs how long the attempt may take
 * @param answerMaxBytes how long the response's body may be
 * @param repeatable whether the request is idempotent
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
        long timeoutMs,
        int responseMaxBytes,
        boolean idempotent) {}
