package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import spokestall.time.Clock;

/** A disk in memory on which a commit is down after a while of a virtual clock, unless the power goes before. */
public final class DelayedSegmentStore extends InMemorySegmentStore {
    private final Clock clock;
    private final IntSupplier delayMs;
    private long slowMs;
    private long incarnation;

    /** Example: {@code new DelayedSegmentStore(8, 1 << 16, clock, () -> 1 + random.nextInt(3))} */
    public DelayedSegmentStore(final int count, final int sizeBytes, final Clock clock, final IntSupplier delayMs) {
        super(count, sizeBytes);
        this.clock = clock;
        this.delayMs = delayMs;
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        final long mine = incarnation;
        clock.after(slowMs + delayMs.getAsInt(), () -> {
            if (incarnation == mine) {
                write(chunks);
                done.accept(true);
            }
        });
    }

    /** Each commit takes so much longer from now on. */
    public void slowBy(final long byMs) {
        slowMs = byMs;
    }

    /** What is not down yet is lost, and nobody is told. */
    public void losePower() {
        incarnation++;
    }
}
