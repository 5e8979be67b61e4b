package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.standin.UpstreamStandIn;

/** One run: a fleet comes up, asks flow, a scenario is played, all is mended, and the ledger is judged. */
public final class SimulationRun {
    private static final long MEND_MS = 15_000;
    private static final long LAST_MS = 10_000;
    public final SimulatedWorld world;
    final SimulatedOperator operator;
    final Random random;
    boolean wiped;
    private final Scenario scenario;
    private long begunMs = -1;
    private long endMs = -1;
    private double lastShare;
    private long heldMs = -1;
    private long mendedMs;
    private long heldAgainMs = -1;
    private long votingMs = -1;
    private long gapMs;

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

    /** Plays the whole run; false if the fleet never came up. */
    public boolean play() {
        world.availability.watch();
        for (final SimulatedNode node : world.nodes.values()) {
            world.sim.after(scenario.startMs(node, random), node::start);
        }
        world.sim.after(2000, () -> operator.first(() -> world.sim.after(2500, this::begin)));
        world.sim.run(45_000);
        if (begunMs < 0) {
            return false;
        }
        endMs = begunMs + 3000 + scenario.playMs() + MEND_MS + LAST_MS;
        world.sim.run(endMs);
        world.clients.stop();
        world.sim.run(endMs + 12_000);
        lastShare = share(endMs - LAST_MS, endMs - 3000);
        operator.end(wiped);
        world.judge.end(world);
        return true;
    }

    private void begin() {
        begunMs = world.sim.nowMs();
        world.clients.start();
        world.sim.after(3000, () -> scenario.play(this));
        world.sim.after(3000, this::watchHolder);
        world.sim.after(3000 + scenario.playMs(), this::mend);
    }

    /** How long nobody could work on the duty, at the most, seen every 20 ms. */
    private void watchHolder() {
        final long nowMs = world.sim.nowMs();
        for (final SimulatedNode c : world.cores()) {
            if (c.running()
                    && c.node().leaseManager().session() != null
                    && c.node().leaseManager().session().isValid(c.nowMs())) {
                gapMs = heldMs < 0 ? 0 : Math.max(gapMs, nowMs - heldMs);
                heldMs = nowMs;
            }
        }
        final long fromMs = recoverFromMs();
        if (mendedMs > 0 || fromMs > 0) {
            if (world.reported.stream()
                            .skip(Math.max(0, world.reported.size() - 3))
                            .anyMatch(r -> r.atMs() > fromMs)
                    && heldAgainMs < fromMs) {
                heldAgainMs = nowMs;
            }
            if (world.cores().stream()
                            .filter(SimulatedNode::running)
                            .allMatch(c -> c.node().acceptor().state() == spokestall.consensus.Acceptor.State.VOTING)
                    && votingMs < fromMs) {
                votingMs = nowMs;
            }
        }
        if (nowMs < begunMs + 3000 + scenario.playMs() + MEND_MS + LAST_MS) {
            later(20, this::watchHolder);
        }
    }

    /** From when recovery counts: all machines are there again, or four cores with state could agree again. */
    private long recoverFromMs() {
        return world.availability.ableAgainMs() > begunMs ? world.availability.ableAgainMs() : mendedMs;
    }

    /** The bound on recovery: longer where a majority's disks were lost, and with them what was acknowledged. */
    long recoverMaxMs() {
        return wiped ? ExpectedAvailability.RECOVER_LOST_MS : ExpectedAvailability.RECOVER_MS;
    }

    /** How long until asks ran again, a report had come and all voters voted; each from the end of the failure. */
    long[] recoveryMs() {
        final long fromMs = recoverFromMs();
        long askMs = fromMs;
        while (askMs < endMs - LAST_MS && share(askMs, askMs + 1000) < 0.95) {
            askMs += 250;
        }
        return new long[] {askMs - fromMs, heldAgainMs - fromMs, votingMs - fromMs};
    }

    /** The longest time without a holder, as a multiple of the lease. */
    double takeover() {
        return gapMs / 2000.0;
    }

    /** The most any edge had, over what an even share would be. */
    double unevenEdges() {
        return uneven(world.begun.stream()
                .filter(b -> b.atMs() >= begunMs + 3000)
                .collect(java.util.stream.Collectors.groupingBy(
                        SimulatedWorld.Begun::edgeZone, java.util.stream.Collectors.counting())));
    }

    /** The most any upstream of the larger service had, over an even share. */
    double unevenUpstreams() {
        return uneven(world.begun.stream()
                .filter(b -> b.instance().startsWith(world.deployment.largeService))
                .collect(java.util.stream.Collectors.groupingBy(
                        SimulatedWorld.Begun::instance, java.util.stream.Collectors.counting())));
    }

    private static double uneven(final Map<String, Long> counts) {
        final double sum = counts.values().stream().mapToLong(Long::longValue).sum();
        return counts.isEmpty()
                ? 0
                : counts.values().stream().mapToLong(Long::longValue).max().getAsLong() / (sum / counts.size());
    }

    /** Synced commits of all cores for each run-once ask that ran. */
    double commitsPerOrder() {
        final long orders = world.begun.stream()
                .filter(b -> world.asked.get(b.requestId()).kind.runOnce())
                .count();
        return orders == 0
                ? 0
                : world.cores().stream().mapToLong(c -> c.disk.commits()).sum() / (double) orders;
    }

    private void mend() {
        world.sim.trace("mend");
        mendedMs = world.sim.nowMs();
        world.net.heal();
        for (final SimulatedNode node : nodes()) {
            node.thaw();
            if (node.core) {
                if (node.node() != null
                        && node.node().acceptor().state() == spokestall.consensus.Acceptor.State.STOPPED) {
                    // What an operator does about a failed disk: a new one.
                    node.kill();
                    node.disk.wipe();
                }
                node.disk.fail(false);
                node.disk.slow(2);
            }
            node.start();
        }
    }

    /** The largest of each table over all nodes that run, as their status tells it. */
    String sizes() {
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
            if (node.running()) {
                most.merge(
                        "listed",
                        (double) node.node().endpointRegistry().endpoints().size(),
                        Math::max);
            }
        }
        return "sizes atS=" + (world.sim.nowMs() - begunMs) / 1000 + " " + most + " asks=" + world.asked.size()
                + " heapMiB="
                + (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() >> 20);
    }

    /** The share of asks first sent in a span that ran. */
    double share(final long fromMs, final long untilMs) {
        long all = 0;
        long ran = 0;
        final Map<String, Boolean> ids = new java.util.HashMap<>();
        for (final SimulatedWorld.Asked a : world.asked.values()) {
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

    /** How often each result was told, by tenant for those that did not run. */
    public Map<String, Integer> results() {
        final Map<String, Integer> found = new java.util.TreeMap<>();
        for (final SimulatedWorld.Told t : world.told) {
            final String of = t.ran() == spokestall.proxy.ExecutionStatus.RAN
                    ? ""
                    : " " + world.asked.get(t.requestId()).kind.tenant();
            found.merge(t.code() + " " + t.ran() + of, 1, Integer::sum);
        }
        return found;
    }

    /** Begun asks of one window by the zone of the edge they came through. */
    public Map<String, Integer> byEdge(final long window) {
        final Map<String, Integer> found = new java.util.TreeMap<>();
        world.begun.stream()
                .filter(b -> (SimulatedWorld.EPOCH_MS + b.atMs()) / SimulatedWorld.WINDOW_MS == window)
                .forEach(b -> found.merge(b.edgeZone(), 1, Integer::sum));
        return found;
    }

    /** All that is known of one ask. */
    public String story(final String requestId) {
        final StringBuilder out = new StringBuilder(requestId + " sent " + world.asked.get(requestId).sentMs);
        world.attempts.stream()
                .filter(g -> g.requestId().equals(requestId))
                .forEach(g -> out.append("\n  ").append(g));
        world.begun.stream()
                .filter(g -> g.requestId().equals(requestId))
                .forEach(g -> out.append("\n  ").append(g));
        world.told.stream()
                .filter(g -> g.requestId().equals(requestId))
                .forEach(g -> out.append("\n  ").append(g));
        return out.toString();
    }

    /** Of the asks that were admitted while the scenario was played, the share that ran within their deadline. */
    double inDeadline() {
        final List<SimulatedWorld.Asked> admitted = world.asked.values().stream()
                .filter(a -> a.admittedMs >= begunMs + 3000 && a.admittedMs < begunMs + 3000 + scenario.playMs())
                .toList();
        return admitted.isEmpty()
                ? 1
                : admitted.stream()
                                .filter(a -> a.answeredMs >= 0 && a.answeredMs - a.admittedMs <= a.spanMs + 50)
                                .count()
                        / (double) admitted.size();
    }

    /** Share of asks that ran while the scenario was played, of the small tenants and of the large ones. */
    String byTenant() {
        final Map<Boolean, List<SimulatedWorld.Asked>> of = world.asked.values().stream()
                .filter(a -> a.sentMs.get(0) >= begunMs + 3000 && a.sentMs.get(0) < begunMs + 3000 + scenario.playMs())
                .collect(java.util.stream.Collectors.partitioningBy(a -> a.kind.weight() < 10));
        return String.format("%.2f/%.2f", ranShare(of.get(true)), ranShare(of.get(false)));
    }

    private static double ranShare(final List<SimulatedWorld.Asked> of) {
        return of.isEmpty() ? 1 : of.stream().filter(a -> a.ran).count() / (double) of.size();
    }

    double playShare() {
        return share(begunMs + 3000, begunMs + 3000 + scenario.playMs());
    }

    /** The largest share of any core's registers that a voting core lacks, or has older, at the end. */
    double lacking() {
        final Map<String, spokestall.consensus.ProposalNumber> newest = new java.util.HashMap<>();
        for (final SimulatedNode c : world.cores()) {
            if (c.running()) {
                c.node()
                        .acceptor()
                        .registers()
                        .forEach((k, r) -> newest.merge(k, r.accepted(), (a, o) -> a.compareTo(o) >= 0 ? a : o));
            }
        }
        double worst = 0;
        for (final SimulatedNode c : world.cores()) {
            if (c.running() && !newest.isEmpty()) {
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

    double lastShare() {
        return lastShare;
    }

    void later(final long waitMs, final Runnable what) {
        world.sim.after(waitMs, what);
    }

    List<SimulatedNode> nodes() {
        return List.copyOf(world.nodes.values());
    }

    <T> T any(final List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    void disturb(final List<SimulatedNode> nodes, final long spanMs) {
        nodes.forEach(n -> world.disturb(n, world.sim.nowMs() + spanMs));
    }

    void bounce(final SimulatedNode node, final long downMs, final boolean power) {
        disturb(List.of(node), downMs + 8000);
        if (power) {
            node.losePower();
        } else {
            node.kill();
        }
        later(downMs + random.nextInt(500), node::start);
    }

    void loseDisk(final SimulatedNode core, final long downMs) {
        disturb(List.of(core), downMs + 10_000);
        core.losePower();
        core.disk.wipe();
        world.sim.trace("wiped " + core.name);
        later(downMs, core::start);
    }

    void freeze(final SimulatedNode node, final long spanMs) {
        disturb(List.of(node), spanMs + 6000);
        node.freeze();
        later(spanMs, node::thaw);
    }

    /** A core under a new name comes, as the machine of that place. */
    void grow(final String name, final int place) {
        final SimulatedNode fresh = world.grow(name, place);
        disturb(List.of(fresh), 10_000);
        fresh.start();
    }

    /** Leaves, is emptied, goes, and is replaced. */
    void drain(final SimulatedEnvironment.Up up, final boolean replace) {
        up.leaving = true;
        world.emptied.add(new SimulatedWorld.Span(up.instance, world.sim.nowMs(), Long.MAX_VALUE));
        if (replace) {
            world.outside.replace(up);
        }
        later(9000, () -> {
            up.listed = false;
            world.outside.stop(up);
        });
    }

    /** Stops, and its address passes at once to an upstream of the other service. */
    void pass(final SimulatedEnvironment.Up up) {
        world.outside.stop(up);
        final String other = up.service.equals(world.deployment.largeService)
                ? world.deployment.smallService
                : world.deployment.largeService;
        world.outside.add(other, up.address, up.zone, up.region, world.sim.nowMs());
        later(2000, () -> up.listed = false);
    }

    /** One random cut: a machine alone, one way only, or the core from some edges. */
    void cut(final long spanMs) {
        final List<SimulatedNode> one = new ArrayList<>();
        final List<SimulatedNode> rest = new ArrayList<>(nodes());
        switch (random.nextInt(3)) {
            case 0 -> one.add(any(rest));
            case 1 -> one.addAll(world.edges().subList(0, 1 + random.nextInt(3)));
            default -> {
                final SimulatedNode lone = any(rest);
                disturb(List.of(lone), spanMs + 6000);
                rest.forEach(r -> world.net.cut(lone.address, r.address, true));
                later(spanMs, () -> rest.forEach(r -> world.net.cut(lone.address, r.address, false)));
                return;
            }
        }
        rest.removeAll(one);
        disturb(one, spanMs + 6000);
        world.part(one, rest, true);
        later(spanMs, () -> world.part(one, rest, false));
    }

    /** One random failure. */
    void anything() {
        switch (random.nextInt(16)) {
            case 0 -> world.outside.stop(any(world.outside.running()));
            case 1 -> drain(any(world.outside.running()), true);
            case 2 -> pass(any(world.outside.running()));
            case 3 -> {
                final SimulatedEnvironment.Up up = any(world.outside.running());
                up.manner = any(List.of(UpstreamStandIn.Behavior.values()));
            }
            case 4 -> bounce(any(nodes()), 1000 + random.nextInt(4000), random.nextBoolean());
            case 5 -> {
                final SimulatedNode holder = world.holder();
                if (holder != null) {
                    bounce(holder, 1000 + random.nextInt(6000), true);
                }
            }
            case 6 -> loseDisk(any(world.cores()), 1000 + random.nextInt(2000));
            case 7, 8 -> freeze(any(nodes()), 500 + random.nextInt(8000));
            case 9 -> any(world.cores()).disk.stall(500 + random.nextInt(5000));
            case 10 -> any(nodes()).jump((random.nextBoolean() ? 1 : -1) * 3_600_000L);
            case 11 -> cut(1000 + random.nextInt(5000));
            case 12 -> operator.race();
            case 13 -> operator.wrong();
            case 14 -> operator.withdraw(2 + random.nextInt(4), 8000);
            default -> operator.hold(Deployment.zone(random.nextInt(6)), 6000);
        }
    }
}
