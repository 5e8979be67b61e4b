package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import spokestall.consensus.Acceptor;

/**
 * Computes when the fleet can be expected to be available, only from the state of the simulated machines, disks and network.
 *
 * <p>The fleet is unavailable while no core reaches four cores, itself included, that have state and run on working disks, and for a
 * fixed recovery time afterwards. The time before the bootstrap counts too. State that is held only in memory is lost when all cores
 * are down at the same time.
 */
public final class ExpectedAvailability {
    /** Recovery time if no acknowledged state was lost. */
    public static final long RECOVERY_MS = 8000;

    /** Recovery time if so many disks were blank that acknowledged state was lost: fewer than four had state. */
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
        final List<SimulatedNode> capable =
                world.cores().stream().filter(ExpectedAvailability::canVote).toList();
        final boolean able = capable.stream()
                .anyMatch(one -> capable.stream()
                                .filter(other -> one == other
                                        || world.net.isOpen(one.address, other.address)
                                                && world.net.isOpen(other.address, one.address))
                                .count()
                        >= MAJORITY);
        majorityDisksLost |=
                world.cores().stream().filter(c -> c.disk.isBlank()).count()
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
        final boolean allDownNow = world.cores().stream().noneMatch(SimulatedNode::isUp);
        if (allDownNow && !allDown) {
            allCoresDownMs.add(nowMs);
        }
        allDown = allDownNow;
        world.sim.after(CHECK_INTERVAL_MS, this::watch);
    }

    private static boolean canVote(final SimulatedNode core) {
        if (core.isRunning() && core.node().acceptor().state() == Acceptor.State.VOTING) {
            core.disk.markWritten();
        }
        return core.isRunning() && core.disk.isWorking() && !core.disk.isBlank();
    }

    /** Returns whether the fleet was unavailable, or still recovering, at any time in the interval. */
    public boolean unavailable(final long fromMs, final long untilMs) {
        return unavailableSinceMs >= 0 && unavailableSinceMs <= untilMs
                || unavailable.stream().anyMatch(s -> s.fromMs() <= untilMs && s.untilMs() >= fromMs);
    }

    /** Returns whether the last running core went down in the interval, which loses all state that is held only in memory. */
    public boolean allCoresWentDown(final long fromMs, final long untilMs) {
        return allCoresDownMs.stream().anyMatch(at -> at >= fromMs && at <= untilMs);
    }

    /** Returns when the fleet last became available again, or -1 if it never has. */
    long availableAgainMs() {
        return availableAgainMs;
    }
}
