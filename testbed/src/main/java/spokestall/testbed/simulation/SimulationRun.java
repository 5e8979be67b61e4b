package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.standin.UpstreamStandIn;

/**
 * One run: a fleet starts, clients send requests, a scenario is played, all failures are repaired, and the recorded events are
 * judged.
 */
public final class SimulationRun {
    private static final long RECOVERY_MS = 15_000;
    private static final long FINAL_MS = 10_000;
    /** How long a node's link to the platform is cut at least and at most. */
    private static final long CUT_MIN_MS = 500;

    private static final long CUT_MAX_MS = 5000;
    /** How long a holder whose link is restored stays frozen at most. A kernel sends again up to 3.2 s after the restoration. */
    private static final long FROZEN_AFTER_CUT_MAX_MS = 4000;

    public final SimulatedWorld world;
    final SimulatedOperator operator;
    final Random random;
    boolean majorityDisksLost;
    private final Scenario scenario;
    private long trafficStartMs = -1;
    private long endMs = -1;
    private double finalSuccessShare;
    private long lastHeldMs = -1;
    private long repairedMs;
    private long reportedAgainMs = -1;
    private long allVotingMs = -1;
    private long longestLeaseGapMs;

    public SimulationRun(
            final long seed,
            final Deployment deployment,
            final Scenario scenario,
            final boolean traced,
            final InjectedFault injectedFault) {
        this.world = new SimulatedWorld(seed, deployment, traced, injectedFault, scenario);
        this.operator = new SimulatedOperator(world);
        this.random = world.sim.random("scenario");
        this.scenario = scenario;
    }

    long playMs() {
        return scenario.playMs();
    }

    /** Plays the whole run. Returns false if the fleet did not accept its first configuration within 45 s. */
    public boolean play() {
        world.availability.watch();
        for (final SimulatedNode node : world.nodes.values()) {
            world.sim.after(scenario.startMs(node, random), node::start);
        }
        world.sim.after(2000, () -> operator.putInitialConfiguration(() -> world.sim.after(2500, this::startTraffic)));
        world.sim.run(45_000);
        if (trafficStartMs < 0) {
            return false;
        }
        endMs = trafficStartMs + 3000 + scenario.playMs() + RECOVERY_MS + FINAL_MS;
        world.sim.run(endMs);
        world.clients.stop();
        world.sim.run(endMs + 12_000);
        finalSuccessShare = successShare(endMs - FINAL_MS, endMs - 3000);
        operator.checkFinalConfiguration(majorityDisksLost);
        world.judge.judgeRun(world);
        return true;
    }

    private void startTraffic() {
        trafficStartMs = world.sim.nowMs();
        world.clients.start();
        world.sim.after(3000, () -> scenario.play(this));
        world.sim.after(3000, this::watchRecovery);
        world.sim.after(3000 + scenario.playMs(), this::repairAll);
    }

    /**
     * Samples every 20 ms the longest time without a valid lease, and when, after recovery started, a usage report arrived and all
     * voters voted.
     */
    private void watchRecovery() {
        final long nowMs = world.sim.nowMs();
        for (final SimulatedNode c : world.cores()) {
            if (c.isRunning()
                    && c.node().leaseManager().session() != null
                    && c.node().leaseManager().session().isValid(c.nowMs())) {
                longestLeaseGapMs = lastHeldMs < 0 ? 0 : Math.max(longestLeaseGapMs, nowMs - lastHeldMs);
                lastHeldMs = nowMs;
            }
        }
        final long fromMs = recoveryStartMs();
        if (repairedMs > 0 || fromMs > 0) {
            if (world.reports.stream()
                            .skip(Math.max(0, world.reports.size() - 3))
                            .anyMatch(r -> r.atMs() > fromMs)
                    && reportedAgainMs < fromMs) {
                reportedAgainMs = nowMs;
            }
            if (world.cores().stream()
                            .filter(SimulatedNode::isRunning)
                            .allMatch(c -> c.node().acceptor().state() == spokestall.consensus.Acceptor.State.VOTING)
                    && allVotingMs < fromMs) {
                allVotingMs = nowMs;
            }
        }
        if (nowMs < trafficStartMs + 3000 + scenario.playMs() + RECOVERY_MS + FINAL_MS) {
            later(20, this::watchRecovery);
        }
    }

    /** Returns when recovery starts: when four cores with state can agree again, else when all failures are repaired. */
    private long recoveryStartMs() {
        return world.availability.availableAgainMs() > trafficStartMs
                ? world.availability.availableAgainMs()
                : repairedMs;
    }

    /** Returns the bound on recovery, which is longer if a majority of the disks, and with them acknowledged state, was lost. */
    long maxRecoveryMs() {
        return majorityDisksLost ? ExpectedAvailability.RECOVERY_AFTER_LOSS_MS : ExpectedAvailability.RECOVERY_MS;
    }

    /** Returns how long after the failure's end requests succeeded again, a usage report arrived, and all voters voted. */
    long[] recoveryMs() {
        final long fromMs = recoveryStartMs();
        long askMs = fromMs;
        while (askMs < endMs - FINAL_MS && successShare(askMs, askMs + 1000) < 0.95) {
            askMs += 250;
        }
        return new long[] {askMs - fromMs, reportedAgainMs - fromMs, allVotingMs - fromMs};
    }

    /** Returns the longest time without a valid lease, as a multiple of the lease's duration. */
    double longestTakeover() {
        return longestLeaseGapMs / 2000.0;
    }

    /** Returns the largest number of requests through one edge, relative to an even share. */
    double edgeImbalance() {
        return imbalance(world.executions.stream()
                .filter(b -> b.atMs() >= trafficStartMs + 3000)
                .collect(java.util.stream.Collectors.groupingBy(
                        SimulatedWorld.Begun::edgeZone, java.util.stream.Collectors.counting())));
    }

    /** Returns the largest number of requests at one upstream of the larger service, relative to an even share. */
    double upstreamImbalance() {
        return imbalance(world.executions.stream()
                .filter(b -> b.instance().startsWith(world.deployment.largeService))
                .collect(java.util.stream.Collectors.groupingBy(
                        SimulatedWorld.Begun::instance, java.util.stream.Collectors.counting())));
    }

    private static double imbalance(final Map<String, Long> counts) {
        final double sum = counts.values().stream().mapToLong(Long::longValue).sum();
        return counts.isEmpty()
                ? 0
                : counts.values().stream().mapToLong(Long::longValue).max().getAsLong() / (sum / counts.size());
    }

    /** Returns the number of disk commits of all cores per run-once request that ran. */
    double commitsPerOrder() {
        final long orders = world.executions.stream()
                .filter(b -> world.requests.get(b.requestId()).kind.runOnce())
                .count();
        return orders == 0
                ? 0
                : world.cores().stream().mapToLong(c -> c.disk.commits()).sum() / (double) orders;
    }

    private void repairAll() {
        world.sim.trace("mend");
        repairedMs = world.sim.nowMs();
        world.net.heal();
        for (final SimulatedNode node : nodes()) {
            node.thaw();
            if (node.core) {
                if (node.node() != null
                        && node.node().acceptor().state() == spokestall.consensus.Acceptor.State.STOPPED) {
                    // An operator replaces a failed disk with a new one.
                    node.kill();
                    node.disk.wipe();
                }
                node.disk.setFailing(false);
                node.disk.setLatency(2);
            }
            node.start();
        }
    }

    /** Returns the largest size of each table over all running nodes, mostly as their status reports it. */
    String tableSizes() {
        final Map<String, Double> most = new java.util.TreeMap<>();
        for (final SimulatedNode node : world.nodes.values()) {
            world.call(
                    node,
                    "status",
                    com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode(),
                    reply -> {
                        for (final String name : List.of("registers", "ringFill", "open", "heldBytes")) {
                            most.merge(name, reply.fields().path(name).asDouble(), Math::max);
                        }
                        most.merge(
                                "nodes", (double) reply.fields().path("nodes").size(), Math::max);
                        reply.fields().path("hints").forEach(h -> most.merge("hints", h.asDouble(), Math::max));
                    });
            if (node.isRunning()) {
                most.merge(
                        "listed",
                        (double) node.node().endpointRegistry().endpoints().size(),
                        Math::max);
            }
        }
        return "sizes atS=" + (world.sim.nowMs() - trafficStartMs) / 1000 + " " + most + " asks="
                + world.requests.size()
                + " heapMiB="
                + (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() >> 20);
    }

    /** Returns the share of the requests first sent in an interval that ran. */
    double successShare(final long fromMs, final long untilMs) {
        long all = 0;
        long ran = 0;
        final Map<String, Boolean> ids = new java.util.HashMap<>();
        for (final SimulatedWorld.ClientRequest a : world.requests.values()) {
            final String id = a.kind.runOnce() ? a.requestId : a.requestId.substring(0, a.requestId.indexOf('.'));
            if (a.sentMs.get(0) >= fromMs && a.sentMs.get(0) < untilMs) {
                ids.merge(id, a.ran, Boolean::logicalOr);
            }
        }
        for (final boolean one : ids.values()) {
            all++;
            ran += one ? 1 : 0;
        }
        return all == 0 ? 0 : (double) ran / all;
    }

    /** Counts the results that clients received; those of requests that did not run also by tenant. */
    public Map<String, Integer> results() {
        final Map<String, Integer> found = new java.util.TreeMap<>();
        for (final SimulatedWorld.Told t : world.responses) {
            final String of = t.ran() == spokestall.proxy.ExecutionStatus.RAN
                    ? ""
                    : " " + world.requests.get(t.requestId()).kind.tenant();
            found.merge(t.code() + " " + t.ran() + of, 1, Integer::sum);
        }
        return found;
    }

    /** Counts the requests that began in a window, by the zone of the edge that sent them. */
    public Map<String, Integer> byEdge(final long window) {
        final Map<String, Integer> found = new java.util.TreeMap<>();
        world.executions.stream()
                .filter(b -> (SimulatedWorld.EPOCH_MS + b.atMs()) / SimulatedWorld.WINDOW_MS == window)
                .forEach(b -> found.merge(b.edgeZone(), 1, Integer::sum));
        return found;
    }

    /** Returns all recorded events of one request. */
    public String requestHistory(final String requestId) {
        final StringBuilder out = new StringBuilder(requestId + " sent " + world.requests.get(requestId).sentMs);
        world.attempts.stream()
                .filter(g -> g.requestId().equals(requestId))
                .forEach(g -> out.append("\n  ").append(g));
        world.executions.stream()
                .filter(g -> g.requestId().equals(requestId))
                .forEach(g -> out.append("\n  ").append(g));
        world.responses.stream()
                .filter(g -> g.requestId().equals(requestId))
                .forEach(g -> out.append("\n  ").append(g));
        return out.toString();
    }

    /** Returns the share of the requests admitted during the scenario that ran within their deadline, plus 50 ms. */
    double inDeadlineShare() {
        final List<SimulatedWorld.ClientRequest> admitted = world.requests.values().stream()
                .filter(a -> a.admittedMs >= trafficStartMs + 3000
                        && a.admittedMs < trafficStartMs + 3000 + scenario.playMs())
                .toList();
        return admitted.isEmpty()
                ? 1
                : admitted.stream()
                                .filter(a -> a.answeredMs >= 0 && a.answeredMs - a.admittedMs <= a.remainingMs + 50)
                                .count()
                        / (double) admitted.size();
    }

    /** Returns the share of the requests sent during the scenario that ran, for small and for large tenants. */
    String successByTenantSize() {
        final Map<Boolean, List<SimulatedWorld.ClientRequest>> of = world.requests.values().stream()
                .filter(a -> a.sentMs.get(0) >= trafficStartMs + 3000
                        && a.sentMs.get(0) < trafficStartMs + 3000 + scenario.playMs())
                .collect(java.util.stream.Collectors.partitioningBy(a -> a.kind.weight() < 10));
        return String.format("%.2f/%.2f", ranShare(of.get(true)), ranShare(of.get(false)));
    }

    private static double ranShare(final List<SimulatedWorld.ClientRequest> of) {
        return of.isEmpty() ? 1 : of.stream().filter(a -> a.ran).count() / (double) of.size();
    }

    double scenarioSuccessShare() {
        return successShare(trafficStartMs + 3000, trafficStartMs + 3000 + scenario.playMs());
    }

    /** Returns the largest share of all registers that a running core lacks, or holds in an older state, at the end. */
    double missingRegisterShare() {
        final Map<String, spokestall.consensus.ProposalNumber> newest = new java.util.HashMap<>();
        for (final SimulatedNode c : world.cores()) {
            if (c.isRunning()) {
                c.node()
                        .acceptor()
                        .registers()
                        .forEach((k, r) -> newest.merge(k, r.accepted(), (a, o) -> a.compareTo(o) >= 0 ? a : o));
            }
        }
        double worst = 0;
        for (final SimulatedNode c : world.cores()) {
            if (c.isRunning() && !newest.isEmpty()) {
                final long lacks = newest.entrySet().stream()
                        .filter(e -> {
                            final var r = c.node().acceptor().registers().get(e.getKey());
                            return r == null || r.accepted().compareTo(e.getValue()) < 0;
                        })
                        .count();
                worst = Math.max(worst, (double) lacks / newest.size());
            }
        }
        return worst;
    }

    double finalSuccessShare() {
        return finalSuccessShare;
    }

    void later(final long waitMs, final Runnable action) {
        world.sim.after(waitMs, action);
    }

    List<SimulatedNode> nodes() {
        return List.copyOf(world.nodes.values());
    }

    <T> T pick(final List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    void markDisturbed(final List<SimulatedNode> nodes, final long spanMs) {
        nodes.forEach(n -> world.markDisturbed(n, world.sim.nowMs() + spanMs));
    }

    void restart(final SimulatedNode node, final long downMs, final boolean power) {
        markDisturbed(List.of(node), downMs + 8000);
        if (power) {
            node.losePower();
        } else {
            node.kill();
        }
        later(downMs + random.nextInt(500), node::start);
    }

    void loseDisk(final SimulatedNode core, final long downMs) {
        markDisturbed(List.of(core), downMs + 10_000);
        core.losePower();
        core.disk.wipe();
        world.sim.trace("wiped " + core.name);
        later(downMs, core::start);
    }

    void freeze(final SimulatedNode node, final long spanMs) {
        markDisturbed(List.of(node), spanMs + 6000);
        node.freeze();
        later(spanMs, node::thaw);
    }

    /**
     * Cuts the lease holder's link to the platform, mostly as it sends the last byte of a report. The holder then runs on, freezes or
     * is killed, and the link is restored.
     */
    void holdUpReport() {
        final SimulatedNode holder = world.leaseHolder();
        if (holder == null) {
            return;
        }
        final SimulatedPlatformLink link = world.environment.platformLink(holder);
        final SimulatedPlatformLink.Cut when =
                random.nextInt(4) == 0 ? SimulatedPlatformLink.Cut.NOW : SimulatedPlatformLink.Cut.AT_LAST_BYTE;
        link.cut(when, () -> {
            final long healedAfterMs = CUT_MIN_MS + random.nextLong(CUT_MAX_MS - CUT_MIN_MS);
            markDisturbed(nodes(), healedAfterMs + 10_000);
            later(healedAfterMs, link::restore);
            later(random.nextInt(100), () -> playHolderFate(holder, healedAfterMs));
        });
    }

    private void playHolderFate(final SimulatedNode holder, final long healedAfterMs) {
        switch (random.nextInt(4)) {
            case 0 -> {}
            case 1 -> restart(holder, random.nextInt(2000), false);
            default -> freeze(holder, healedAfterMs + random.nextLong(FROZEN_AFTER_CUT_MAX_MS));
        }
    }

    /** Adds and starts a core under a new name, in the zone of that index. */
    void addCore(final String name, final int zoneIndex) {
        final SimulatedNode core = world.addCore(name, zoneIndex);
        markDisturbed(List.of(core), 10_000);
        core.start();
    }

    /** Drains an upstream, starts its replacement at once if requested, and stops it after nine seconds. */
    void drain(final SimulatedEnvironment.Upstream up, final boolean replace) {
        up.leaving = true;
        world.drained.add(new SimulatedWorld.Interval(up.instance, world.sim.nowMs(), Long.MAX_VALUE));
        if (replace) {
            world.environment.replace(up);
        }
        later(9000, () -> {
            up.listed = false;
            world.environment.stop(up);
        });
    }

    /** Stops an upstream, and gives its address at once to a new upstream of the other service. */
    void reassignAddress(final SimulatedEnvironment.Upstream up) {
        world.environment.stop(up);
        final String other = up.service.equals(world.deployment.largeService)
                ? world.deployment.smallService
                : world.deployment.largeService;
        world.environment.add(other, up.address, up.zone, up.region, world.sim.nowMs());
        later(2000, () -> up.listed = false);
    }

    /** Cuts a random part of the network: one node, one to three edges, or the outgoing links of one node. */
    void cutAtRandom(final long spanMs) {
        final List<SimulatedNode> one = new ArrayList<>();
        final List<SimulatedNode> rest = new ArrayList<>(nodes());
        switch (random.nextInt(3)) {
            case 0 -> one.add(pick(rest));
            case 1 -> one.addAll(world.edges().subList(0, 1 + random.nextInt(3)));
            default -> {
                final SimulatedNode lone = pick(rest);
                markDisturbed(List.of(lone), spanMs + 6000);
                rest.forEach(r -> world.net.cut(lone.address, r.address, true));
                later(spanMs, () -> rest.forEach(r -> world.net.cut(lone.address, r.address, false)));
                return;
            }
        }
        rest.removeAll(one);
        markDisturbed(one, spanMs + 6000);
        world.setPartitioned(one, rest, true);
        later(spanMs, () -> world.setPartitioned(one, rest, false));
    }

    /** Injects one random failure or operator action. */
    void injectRandomFailure() {
        switch (random.nextInt(16)) {
            case 0 -> world.environment.stop(pick(world.environment.running()));
            case 1 -> drain(pick(world.environment.running()), true);
            case 2 -> reassignAddress(pick(world.environment.running()));
            case 3 -> {
                final SimulatedEnvironment.Upstream up = pick(world.environment.running());
                up.behavior = pick(List.of(UpstreamStandIn.Behavior.values()));
            }
            case 4 -> restart(pick(nodes()), 1000 + random.nextInt(4000), random.nextBoolean());
            case 5 -> {
                final SimulatedNode holder = world.leaseHolder();
                if (holder != null) {
                    restart(holder, 1000 + random.nextInt(6000), true);
                }
            }
            case 6 -> loseDisk(pick(world.cores()), 1000 + random.nextInt(2000));
            case 7, 8 -> freeze(pick(nodes()), 500 + random.nextInt(8000));
            case 9 -> pick(world.cores()).disk.stall(500 + random.nextInt(5000));
            case 10 -> pick(nodes()).jumpWallClock((random.nextBoolean() ? 1 : -1) * 3_600_000L);
            case 11 -> cutAtRandom(1000 + random.nextInt(5000));
            case 12 -> operator.raceTwoChanges();
            case 13 -> operator.sendInvalidChanges();
            case 14 -> operator.withdrawKey(2 + random.nextInt(4), 8000);
            default -> operator.drainZone(Deployment.zone(random.nextInt(6)), 6000);
        }
    }
}
