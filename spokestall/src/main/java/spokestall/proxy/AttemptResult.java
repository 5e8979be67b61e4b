package spokestall.proxy;

import spokestall.message.ResponseContent;

/** How one attempt ended. */
public sealed interface AttemptResult {
    /** The upstream's own, complete response. */
    record Answered(ResponseContent content) implements AttemptResult {}

    /** No byte of the request left this node. */
    record NotSent(String why) implements AttemptResult {}

    /** The upstream itself says that it did not run the request. */
    record NotRun(String why) implements AttemptResult {}

    /** Bytes may have left, and no complete response of that upstream to that request came back. */
    record Lost(String why) implements AttemptResult {}
}
