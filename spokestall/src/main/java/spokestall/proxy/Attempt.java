package spokestall.proxy;

import java.util.List;
import spokestall.message.Header;

/** One attempt to have an upstream answer an ask. */
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
        long waitMs,
        int answerMaxBytes,
        boolean repeatable) {}
