package spokestall.edge;

import spokestall.wire.Content;

/** How one go ended. */
public sealed interface GoResult {
    /** The upstream's own, whole answer. */
    record Whole(Content content) implements GoResult {}

    /** No byte of the ask left this node. */
    record NotSent(String why) implements GoResult {}

    /** The upstream itself says that it did not run the ask. */
    record NotRun(String why) implements GoResult {}

    /** Bytes may have left, and no whole answer of that upstream to that ask came back. */
    record Lost(String why) implements GoResult {}
}
