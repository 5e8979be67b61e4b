package spokestall.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import spokestall.storage.InMemorySegmentStore;

/** An in-memory disk that completes commits at once or, while it is paused, only when the test calls {@link #completePending}. */
final class PausableSegmentStore extends InMemorySegmentStore {
    private final List<Runnable> pending = new ArrayList<>();
    private boolean paused;

    PausableSegmentStore() {
        super(8, 1 << 14);
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        pending.add(() -> super.commit(chunks, done));
        if (!paused) {
            completePending();
        }
    }

    /** Keeps all further commits pending. */
    void pause() {
        paused = true;
    }

    /** Completes the pending commits and those that their callbacks start. A paused disk stays paused. */
    void completePending() {
        while (!pending.isEmpty()) {
            pending.remove(0).run();
        }
    }
}
