package spokestall.proxy;

import spokestall.message.ResponseContent;

/** How one go ended. */
public sealed interface AttemptResult {
    /** The upstream's own, whole answer. */
    record Whole(ResponseContent content) implements AttemptResult {}

    /** No byte of the ask left this node. */
    record NotSent(String why) implements AttemptResult {}

    /** The upstream itself says that it did not run the ask. */
    record NotRun(String why) implements AttemptResult {}

    /** Bytes may have left, and no whole answer of that upstream to that ask came back. */
    record Lost(String why) implements AttemptResult {}
}
