package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A node's link to the platform. While it is cut, what the node has written waits, and is sent again after pauses that double, as a
 * kernel does. It arrives with the first of these after the link is restored, unless the node has reset the connection by then.
 */
final class SimulatedPlatformLink {
    /** When the link is cut. */
    enum Cut {
        /** Now. */
        NOW,
        /** As soon as the node sends the last byte of a report. */
        AT_LAST_BYTE
    }

    private static final long FIRST_RETRANSMISSION_MS = 200;

    private record Held(long sentMs, BooleanSupplier isReset, Runnable arrival) {}

    private final VirtualTime time;
    private final List<Held> held = new ArrayList<>();
    private boolean cut;
    /** Runs when the link is cut at the last byte of a report; null if it is not to be cut there. */
    private Runnable onCutAtLastByte;

    SimulatedPlatformLink(final VirtualTime time) {
        this.time = time;
    }

    /** Cuts the link; {@code onCut} runs once it is cut. */
    void cut(final Cut when, final Runnable onCut) {
        switch (when) {
            case NOW -> {
                cut = true;
                onCut.run();
            }
            case AT_LAST_BYTE -> onCutAtLastByte = onCut;
        }
    }

    void restore() {
        cut = false;
        onCutAtLastByte = null;
        held.forEach(this::retransmit);
        held.clear();
    }

    boolean isCut() {
        return cut;
    }

    /**
     * Carries the last byte of a report.
     *
     * @param isReset whether the connection has been reset, so that what waits is lost
     * @param arrival runs when the byte arrives
     */
    void sendLastByte(final long oneWayMs, final BooleanSupplier isReset, final Runnable arrival) {
        if (onCutAtLastByte != null) {
            cut = true;
            onCutAtLastByte.run();
            onCutAtLastByte = null;
        }
        if (cut) {
            held.add(new Held(time.nowMs(), isReset, arrival));
        } else {
            time.after(oneWayMs, arrival);
        }
    }

    private void retransmit(final Held bytes) {
        long sinceSentMs = FIRST_RETRANSMISSION_MS;
        long pauseMs = FIRST_RETRANSMISSION_MS;
        while (bytes.sentMs + sinceSentMs < time.nowMs()) {
            pauseMs *= 2;
            sinceSentMs += pauseMs;
        }
        time.after(bytes.sentMs + sinceSentMs - time.nowMs(), () -> {
            if (!bytes.isReset.getAsBoolean()) {
                time.trace("late report arrives");
                bytes.arrival.run();
            }
        });
    }
}
