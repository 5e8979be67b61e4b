package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.message.ResponseContent;

/** The final answer to an ask; content is the upstream's own, or null when spokestall itself answers. */
public record Response(
        ResultCode result,
        ExecutionStatus ran,
        ResponseContent content,
        String instance,
        int attempts,
        long retryAfterMs) {}
