package spokestall.proxy;

import spokestall.message.ResponseContent;

/** The result of one attempt. */
public sealed interface AttemptResult {
    /** The upstream sent a complete response. */
    record Answered(ResponseContent content) implements AttemptResult {}

    /** No byte of the request left this node. */
    record NotSent(String why) implements AttemptResult {}

    /** The upstream reported that it did not run the request. */
    record NotRun(String why) implements AttemptResult {}

    /** Bytes of the request may have been sent, and no complete response from that instance arrived. */
    record Lost(String why) implements AttemptResult {}
}
