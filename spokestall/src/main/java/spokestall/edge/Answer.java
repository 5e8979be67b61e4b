package spokestall.edge;

import spokestall.rpc.Result;

/** The final answer to an ask. */
public record Answer(Result result, Ran ran, int status, String contentType, byte[] body, String instance, int goes,
        long retryAfterMs) {
}
