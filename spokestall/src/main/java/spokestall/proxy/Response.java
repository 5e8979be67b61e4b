package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.message.ResponseContent;

/**
 * The final response to a request.
 *
 * @param executionStatus whether the request ran, as far as this node knows
 * @param content the upstream's response, null if spokestall itself generated the response
 * @param instance the upstream that ran the request, null if none did
 * @param attempts the number of attempts that were started
 * @param retryAfterMs the time after which the client may retry, zero if the response doesn't say
 */
public record Response(
        ResultCode result,
        ExecutionStatus executionStatus,
        ResponseContent content,
        String instance,
        int attempts,
        long retryAfterMs) {}
