package spokestall.proxy;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** How an edge reaches upstreams, at the rim. */
public interface UpstreamClient {
    /** {@code until} is asked on the stage when the wire is open, and tells until when, on the monotonic clock, the
     * first bytes may leave; it is looked at once more in the moment they do. A time gone by is "not at all".
     * When they have left, {@code sent} is run on
     * the stage, before {@code done}. */
    void attempt(Attempt attempt, LongSupplier until, Runnable sent, Consumer<AttemptResult> done);
}
