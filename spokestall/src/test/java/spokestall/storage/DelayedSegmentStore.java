package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import spokestall.time.Clock;

/** A disk in memory that syncs each commit after a delay on a virtual clock, unless power is lost before. */
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

    /** Delays each further commit by so many milliseconds more. */
    public void addDelay(final long byMs) {
        addedDelayMs = byMs;
    }

    /** Loses all commits in flight; their callbacks are never called. */
    public void losePower() {
        incarnation++;
    }
}
