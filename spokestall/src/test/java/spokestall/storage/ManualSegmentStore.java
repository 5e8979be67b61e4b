package spokestall.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** In-memory segments whose commits stay in flight until the test syncs, refuses, loses or tears them. */
final class ManualSegmentStore extends InMemorySegmentStore {
    private final List<Chunk> inFlight = new ArrayList<>();
    private Consumer<Boolean> callback;

    ManualSegmentStore(final int count, final int sizeBytes) {
        super(count, sizeBytes);
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        assertThat(callback).as("one commit at a time").isNull();
        inFlight.addAll(chunks);
        callback = done;
    }

    /** Writes the commit in flight and reports it as synced. Reports nothing if there is none. */
    void sync() {
        write(inFlight);
        inFlight.clear();
        final Consumer<Boolean> done = callback;
        callback = null;
        if (done != null) {
            done.accept(true);
        }
    }

    /** Reports the commit in flight as failed, without writing any of it. */
    void refuse() {
        inFlight.clear();
        final Consumer<Boolean> done = callback;
        callback = null;
        done.accept(false);
    }

    /** Loses power: the first {@code lost} chunks of the commit in flight are lost, and the others are written. */
    void losePowerDroppingFirst(final int lost) {
        write(inFlight.stream().skip(lost).toList());
        inFlight.clear();
        callback = null;
    }

    /** Loses power: of each chunk in flight, a random number of leading bytes is written. */
    void losePower(final Random random) {
        for (final Chunk chunk : inFlight) {
            write(chunk, random.nextInt(chunk.bytes().length + 1));
        }
        inFlight.clear();
        callback = null;
    }
}
