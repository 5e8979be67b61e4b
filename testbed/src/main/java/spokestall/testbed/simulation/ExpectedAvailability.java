package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import spokestall.consensus.Acceptor;

/**
 * What the fleet could be expected to do, read from the world alone, from before it is founded on: it could not agree on anything while no four cores
 * with state were up, on working disks and joined, nor for a stated time to recover after that; and what only memories
 * held is gone when all cores are down at once.
 */
public final class ExpectedAvailability {
    /** The time to recover where nothing that was acknowledged is lost, and where it is. */
    public static final long RECOVER_MS = 8000;

    public static final long RECOVER_LOST_MS = 15_000;
    private static final int LOOK_MS = 20;
    private static final int MAJORITY = 4;
    private final SimulatedWorld world;
    private final List<SimulatedWorld.Span> unable = new ArrayList<>();
    private final List<Long> forgotMs = new ArrayList<>();
    private long sinceMs = -1;
    private long ableAgainMs = -1;
    private boolean lost;
    private boolean allDown;

    ExpectedAvailability(final SimulatedWorld world) {
        this.world = world;
    }

    void watch() {
        final long nowMs = world.sim.nowMs();
        final List<SimulatedNode> good =
                world.cores().stream().filter(ExpectedAvailability::good).toList();
        final boolean able = good.stream()
                .anyMatch(one -> good.stream()
                                .filter(other -> one == other
                                        || world.net.open(one.address, other.address)
                                                && world.net.open(other.address, one.address))
                                .count()
                        >= MAJORITY);
        lost |= world.cores().stream().filter(c -> c.disk.blank()).count()
                > world.cores().size() - MAJORITY;
        if (!able && sinceMs < 0) {
            sinceMs = nowMs;
        } else if (able && sinceMs >= 0) {
            unable.add(new SimulatedWorld.Span("fleet", sinceMs, nowMs + (lost ? RECOVER_LOST_MS : RECOVER_MS)));
            ableAgainMs = nowMs;
            sinceMs = -1;
            lost = false;
        }
        final boolean down = world.cores().stream().noneMatch(SimulatedNode::up);
        if (down && !allDown) {
            forgotMs.add(nowMs);
        }
        allDown = down;
        world.sim.after(LOOK_MS, this::watch);
    }

    private static boolean good(final SimulatedNode core) {
        if (core.running() && core.node().acceptor().state() == Acceptor.State.VOTING) {
            core.disk.written();
        }
        return core.running() && core.disk.working() && !core.disk.blank();
    }

    /** Whether the fleet was unable, or still recovering, at some time between. */
    public boolean unable(final long fromMs, final long untilMs) {
        return sinceMs >= 0 && sinceMs <= untilMs
                || unable.stream().anyMatch(s -> s.fromMs() <= untilMs && s.untilMs() >= fromMs);
    }

    /** Whether all memories went at once between. */
    public boolean forgot(final long fromMs, final long untilMs) {
        return forgotMs.stream().anyMatch(at -> at >= fromMs && at <= untilMs);
    }

    /** When the fleet was last able again after being unable; -1 if it never was. */
    long ableAgainMs() {
        return ableAgainMs;
    }
}
