package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.message.ResponseContent;

/**
 * The final response to a request.
 *
 * @param ran what is known of whether the request ran
 * @param content the upstream's own response, null when spokestall itself responds
 * @param instance the upstream that ran it, null if none did
 * @param attempts how many attempts were begun
 * @param retryAfterMs when the client may come back, zero if that isn't said
 */
public record Response(
        ResultCode result,
        ExecutionStatus ran,
        ResponseContent content,
        String instance,
        int attempts,
        long retryAfterMs) {}
