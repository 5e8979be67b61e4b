package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import spokestall.time.Clock;

/** In-memory segments that sync each commit after a delay on a virtual clock, unless the test loses power first. */
public final class DelayedSegmentStore extends InMemorySegmentStore {
    private final Clock clock;
    private final IntSupplier delayMs;
    private long addedDelayMs;
    private long incarnation;

    public DelayedSegmentStore(final int count, final int sizeBytes, final Clock clock, final IntSupplier delayMs) {
        super(count, sizeBytes);
        this.clock = clock;
        this.delayMs = delayMs;
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        final long incarnationAtCommit = incarnation;
        clock.after(addedDelayMs + delayMs.getAsInt(), () -> {
            if (incarnation == incarnationAtCommit) {
                write(chunks);
                done.accept(true);
            }
        });
    }

    /** Sets the milliseconds that are added to the delay of each later commit. */
    public void setAddedDelayMs(final long addedMs) {
        addedDelayMs = addedMs;
    }

    /** Discards all commits in flight, as a power loss does; their callbacks are never called. */
    public void losePower() {
        incarnation++;
    }
}
