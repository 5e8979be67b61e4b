package spokestall.edge;

import java.util.List;
import spokestall.wire.Header;

/** One attempt to have an upstream answer an ask. */
public record Go(
        String askId,
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
