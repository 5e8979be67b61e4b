package spokestall.usage;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;

/**
 * The report of one window under one session: its stage, and which cores gave their counts.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Times are milliseconds of the node's monotonic clock.
 */
final class WindowReport {
    /** How far the report is. */
    enum Stage {
        /** The cores' counts are being requested; edges may still push some. */
        CLOSING,
        /** The change that writes the counts into the window's register is under way. */
        SEALING,
        /** The register holds the counts, and they are not confirmed: they can be sent. */
        SEALED,
        /** A call to the platform is under way. */
        SENDING,
        /** The platform confirmed the counts; the change that records this is under way. */
        RECORDING,
        /** Nothing remains to be done: reported, too late, or not to be reported. */
        DONE;

        private Set<Stage> next() {
            return switch (this) {
                case CLOSING -> EnumSet.of(SEALING);
                // Back to closing if it is not known to be sealed: the register decides which counts it holds.
                case SEALING -> EnumSet.of(SEALED, DONE, CLOSING);
                case SEALED -> EnumSet.of(SENDING, DONE);
                case SENDING -> EnumSet.of(RECORDING, SEALED);
                case RECORDING -> EnumSet.of(DONE);
                case DONE -> EnumSet.noneOf(Stage.class);
            };
        }
    }

    private static final long NEVER = -1;
    private final long window;
    private final Set<String> answeredCores = new HashSet<>();
    private Stage stage = Stage.CLOSING;
    private long firstRequestMs = NEVER;
    private long lastRequestMs = NEVER;
    private SealedWindow sealed;

    WindowReport(final long window) {
        this.window = window;
    }

    long window() {
        return window;
    }

    Stage stage() {
        return stage;
    }

    /** The counts as the register holds them; null before {@link Stage#SEALED}. */
    SealedWindow sealed() {
        return sealed;
    }

    void transition(final Stage to) {
        assert stage.next().contains(to) : "window " + window + " from " + stage + " to " + to;
        stage = to;
    }

    /** Notes what the register holds: counts that this node or an earlier holder wrote, perhaps confirmed already. */
    void onSealed(final SealedWindow held) {
        sealed = held;
        transition(held.completed() ? Stage.DONE : Stage.SEALED);
    }

    void onCoreAnswered(final String core) {
        answeredCores.add(core);
    }

    int answeredCores() {
        return answeredCores.size();
    }

    void onRequested(final long nowMs) {
        lastRequestMs = nowMs;
        if (firstRequestMs == NEVER) {
            firstRequestMs = nowMs;
        }
    }

    boolean isRequested() {
        return lastRequestMs != NEVER;
    }

    long sinceFirstRequestMs(final long nowMs) {
        return nowMs - firstRequestMs;
    }

    long sinceLastRequestMs(final long nowMs) {
        return nowMs - lastRequestMs;
    }
}
