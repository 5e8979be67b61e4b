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
    public static final long RECOVERY_MS = 8000;

    public static final long RECOVERY_AFTER_LOSS_MS = 15_000;
    private static final int CHECK_INTERVAL_MS = 20;
    private static final int MAJORITY = 4;
    private final SimulatedWorld world;
    private final List<SimulatedWorld.Interval> unavailable = new ArrayList<>();
    private final List<Long> allCoresDownMs = new ArrayList<>();
    private long unavailableSinceMs = -1;
    private long availableAgainMs = -1;
    private boolean majorityDisksLost;
    private boolean allDown;

    ExpectedAvailability(final SimulatedWorld world) {
        this.world = world;
    }

    void watch() {
        final long nowMs = world.sim.nowMs();
        final List<SimulatedNode> good =
                world.cores().stream().filter(ExpectedAvailability::canVote).toList();
        final boolean able = good.stream()
                .anyMatch(one -> good.stream()
                                .filter(other -> one == other
                                        || world.net.isOpen(one.address, other.address)
                                                && world.net.isOpen(other.address, one.address))
                                .count()
                        >= MAJORITY);
        majorityDisksLost |= world.cores().stream().filter(c -> c.disk.blank()).count()
                > world.cores().size() - MAJORITY;
        if (!able && unavailableSinceMs < 0) {
            unavailableSinceMs = nowMs;
        } else if (able && unavailableSinceMs >= 0) {
            unavailable.add(new SimulatedWorld.Interval(
                    "fleet", unavailableSinceMs, nowMs + (majorityDisksLost ? RECOVERY_AFTER_LOSS_MS : RECOVERY_MS)));
            availableAgainMs = nowMs;
            unavailableSinceMs = -1;
            majorityDisksLost = false;
        }
        final boolean down = world.cores().stream().noneMatch(SimulatedNode::up);
        if (down && !allDown) {
            allCoresDownMs.add(nowMs);
        }
        allDown = down;
        world.sim.after(CHECK_INTERVAL_MS, this::watch);
    }

    private static boolean canVote(final SimulatedNode core) {
        if (core.running() && core.node().acceptor().state() == Acceptor.State.VOTING) {
            core.disk.markWritten();
        }
        return core.running() && core.disk.working() && !core.disk.blank();
    }

    /** Whether the fleet was unable, or still recovering, at some time between. */
    public boolean unavailable(final long fromMs, final long untilMs) {
        return unavailableSinceMs >= 0 && unavailableSinceMs <= untilMs
                || unavailable.stream().anyMatch(s -> s.fromMs() <= untilMs && s.untilMs() >= fromMs);
    }

    /** Whether all memories went at once between. */
    public boolean allCoresWentDown(final long fromMs, final long untilMs) {
        return allCoresDownMs.stream().anyMatch(at -> at >= fromMs && at <= untilMs);
    }

    /** When the fleet was last able again after being unable; -1 if it never was. */
    long availableAgainMs() {
        return availableAgainMs;
    }
}
