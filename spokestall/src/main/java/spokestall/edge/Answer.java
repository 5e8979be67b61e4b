package spokestall.edge;

import spokestall.rpc.Result;
import spokestall.wire.Content;

/** The final answer to an ask; content is the upstream's own, or null when spokestall itself answers. */
public record Answer(Result result, Ran ran, Content content, String instance, int goes, long retryAfterMs) {}
