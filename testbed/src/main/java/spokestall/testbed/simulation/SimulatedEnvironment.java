package spokestall.testbed.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.discovery.DiscoveryClient;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.message.Header;
import spokestall.message.ResponseContent;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptHandle;
import spokestall.proxy.AttemptResult;
import spokestall.proxy.UpstreamClient;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.standin.UpstreamStandIn;
import spokestall.testbed.verdict.Ledger;
import spokestall.usage.ReportCallback;
import spokestall.usage.ReportResult;
import spokestall.usage.SealedWindow;
import spokestall.usage.SendDeadline;
import spokestall.usage.UsageReportClient;

/** The upstreams and the platform of a simulated run. */
final class SimulatedEnvironment {
    /** One upstream process. */
    static final class Up {
        final String instance;
        final String service;
        final String address;
        final String zone;
        final String region;
        final long readyAtMs;
        boolean running = true;
        boolean leaving;
        boolean listed = true;
        UpstreamStandIn.Behavior manner = UpstreamStandIn.Behavior.WELL;
        /** How long one ask keeps it busy, one at a time; 0 is without limit. */
        long eachMs;

        /** Whether it rejects every second attempt and runs nothing of it. */
        boolean rejectsHalf;

        private long busyUntilMs;
        private int turns;

        Up(
                final String instance,
                final String service,
                final String address,
                final String zone,
                final String region,
                final long readyAtMs) {
            this.instance = instance;
            this.service = service;
            this.address = address;
            this.zone = zone;
            this.region = region;
            this.readyAtMs = readyAtMs;
        }

        private boolean rejectsNext() {
            return rejectsHalf && ++turns % 2 == 0;
        }
    }

    private final SimulatedWorld world;
    private final Random random;
    private final Map<String, Up> byAddress = new TreeMap<>();
    private final Map<String, Up> byInstance = new LinkedHashMap<>();
    private final Map<String, Integer> turns = new TreeMap<>();
    private List<ListedEndpoint> list = new ArrayList<>();
    /** Whether the platform reckons the rest of a warm-up when it answers, half way between call and answer. */
    private boolean reckonsWarmUpOnAnswer;

    private int made;
    private long lastGapMs = -20_000;

    SimulatedEnvironment(final SimulatedWorld world) {
        this.world = world;
        this.random = world.sim.random("outside");
        for (final Deployment.Place p : world.deployment.upstreams()) {
            add(p.service(), address(made), p.zone(), p.region(), -60_000);
        }
        refresh();
    }

    private static String address(final int i) {
        return "10.1." + (i / 200) + "." + (i % 200 + 1) + ":80";
    }

    Up add(final String service, final String address, final String zone, final String region, final long readyAtMs) {
        final Up up = new Up(service + "-" + made++, service, address, zone, region, readyAtMs);
        byAddress.put(address, up);
        byInstance.put(up.instance, up);
        world.net.place(address, region);
        return up;
    }

    /** A new instance at a fresh address in the place of one. */
    Up replace(final Up old) {
        return add(old.service, address(made), old.zone, old.region, world.sim.nowMs());
    }

    List<Up> running() {
        return byInstance.values().stream().filter(u -> u.running && !u.leaving).toList();
    }

    void stop(final Up up) {
        world.sim.trace("upstream " + up.instance + " stops");
        up.running = false;
        if (byAddress.get(up.address) == up) {
            byAddress.remove(up.address);
        }
    }

    /** The platform's list is made anew now and then, so it lags. */
    private void refresh() {
        final List<ListedEndpoint> now = new ArrayList<>();
        byInstance.values().forEach(u -> {
            if (u.listed) {
                now.add(new ListedEndpoint(
                        u.instance, u.service, u.address, u.zone, u.region, u.leaving, warmUpLeftMs(u), 0));
            }
        });
        list = now;
        world.sim.after(500 + random.nextInt(1000), this::refresh);
    }

    /** Has the platform reckon the rest of a warm-up when it answers; the list's entries lag as before. */
    void reckonWarmUpOnAnswer() {
        reckonsWarmUpOnAnswer = true;
    }

    private List<ListedEndpoint> withPresentWarmUp(final List<ListedEndpoint> lagging) {
        return lagging.stream()
                .map(entry -> new ListedEndpoint(
                        entry.instance(),
                        entry.service(),
                        entry.address(),
                        entry.zone(),
                        entry.region(),
                        entry.leaving(),
                        warmUpLeftMs(byInstance.get(entry.instance())),
                        entry.slots()))
                .toList();
    }

    private long warmUpLeftMs(final Up up) {
        return Math.max(0, up.readyAtMs + SimulatedWorld.WARMUP_MS - world.sim.nowMs());
    }

    /** What one life of a node reaches the outside by. */
    NodeEnvironment of(final SimulatedNode node, final long incarnation) {
        return new NodeEnvironment(node, incarnation);
    }

    /** The rim of one life. */
    final class NodeEnvironment implements UpstreamClient, DiscoveryClient, UsageReportClient {
        private final SimulatedNode node;
        private final long incarnation;

        NodeEnvironment(final SimulatedNode node, final long incarnation) {
            this.node = node;
            this.incarnation = incarnation;
        }

        private void back(final long waitMs, final Runnable event) {
            world.sim.after(waitMs, () -> node.run(incarnation, event));
        }

        @Override
        public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
            if (reckonsWarmUpOnAnswer) {
                final long wayMs = world.deployment.interRegionRttMs;
                world.sim.after(wayMs, () -> {
                    final List<ListedEndpoint> answer = withPresentWarmUp(list);
                    back(wayMs, () -> done.accept(Optional.of(answer)));
                });
                return;
            }
            final List<ListedEndpoint> now = list;
            back(10 + random.nextInt(40), () -> done.accept(Optional.of(now)));
        }

        @Override
        public void probe(final String address, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
            final Up up = byAddress.get(address);
            final long way = world.net.wayMs(node.address, address);
            if (up == null || way < 0 || !up.running) {
                back(way < 0 ? timeoutMillis : 2 * way, () -> done.accept(Optional.empty()));
                return;
            }
            back(
                    2 * way + 1,
                    () -> done.accept(
                            !up.running
                                    ? Optional.empty()
                                    : Optional.of(new ProbeResult(
                                            up.instance, up.service, up.leaving, world.sim.nowMs() - up.readyAtMs))));
        }

        @Override
        public void report(
                final String holder,
                final long token,
                final SealedWindow sealed,
                final long waitMs,
                final SendDeadline deadline,
                final ReportCallback callback) {
            final long way = 5L + random.nextInt(20);
            // Connecting takes a round trip; the check is made when the bytes are about to leave.
            leave(2 * way, deadline::latestMs, () -> callback.onResult(ReportResult.UNCONFIRMED), () -> {
                final TreeMap<String, Long> counts = new TreeMap<>(sealed.counts());
                if (world.injectedFault == InjectedFault.SWAPPED_TENANTS) {
                    final Long first = counts.get(Deployment.tenant(0));
                    counts.put(Deployment.tenant(0), counts.getOrDefault(Deployment.tenant(5), 0L));
                    counts.put(Deployment.tenant(5), first);
                }
                if (world.injectedFault != InjectedFault.DEAF_PLATFORM || world.sim.nowMs() > 35_000) {
                    world.sim.after(
                            way,
                            () -> world.reported.add(
                                    new Ledger.Reported(holder, token, sealed.window(), counts, world.sim.nowMs())));
                }
                final boolean lost = random.nextInt(50) == 0;
                back(
                        lost ? waitMs : 2 * way,
                        () -> callback.onResult(lost ? ReportResult.UNCONFIRMED : ReportResult.ACCEPTED));
            });
        }

        @Override
        public AttemptHandle attempt(
                final Attempt attempt,
                final LongSupplier until,
                final Runnable counted,
                final Consumer<AttemptResult> done) {
            final int turn = turns.merge(attempt.requestId(), 1, Integer::sum);
            final SimulatedWorld.Asked asked = world.asked.get(attempt.requestId());
            world.attempts.add(new SimulatedWorld.Gone(
                    attempt.requestId(), attempt.service(), asked.kind.runOnce() ? 1 : turn, world.sim.nowMs()));
            final long way = world.net.wayMs(node.address, attempt.address());
            final boolean[] over = {false};
            final boolean[] sent = {false};
            back(attempt.timeoutMs(), () -> {
                if (!over[0]) {
                    over[0] = true;
                    done.accept(sent[0] ? new AttemptResult.Lost("timeout") : new AttemptResult.NotSent("timeout"));
                }
            });
            final Consumer<AttemptResult> once = r -> {
                if (!over[0]) {
                    over[0] = true;
                    done.accept(r);
                }
            };
            final AttemptHandle handle = () -> back(
                    0,
                    () -> once.accept(
                            sent[0] ? new AttemptResult.Lost("cancelled") : new AttemptResult.NotSent("cancelled")));
            if (way < 0) {
                return handle;
            }
            back(2 * way, () -> {
                if (over[0]) {
                    return;
                }
                if (byAddress.get(attempt.address()) == null) {
                    once.accept(new AttemptResult.NotSent("refused"));
                    return;
                }
                leave(0, until, () -> once.accept(new AttemptResult.NotSent("barred")), () -> {
                    if (!over[0]) {
                        sent[0] = true;
                        counted.run();
                        travel(attempt, once);
                    }
                });
            });
            return handle;
        }

        /** Asks, changes threads, looks once more, and lets the bytes go; a freeze may come between. */
        private void leave(
                final long waitMs, final LongSupplier until, final Runnable blocked, final Runnable attempt) {
            back(waitMs, () -> {
                final long untilMs = until.getAsLong();
                // A report is hit often, but not two in a row: no window outlives that.
                final boolean report = waitMs > 0;
                if (random.nextDouble() < (report ? 300 : 1) * world.gapShare
                        && (!report || world.sim.nowMs() - lastGapMs > 20_000)) {
                    lastGapMs = report ? world.sim.nowMs() : lastGapMs;
                    node.freeze();
                    world.disturb(node, world.sim.nowMs() + world.gapMs + 6000);
                    world.sim.after(world.gapMs, node::thaw);
                }
                back(random.nextInt(2), () -> {
                    if (node.nowMs() >= untilMs && world.injectedFault != InjectedFault.NO_LAST_LOOK) {
                        blocked.run();
                    } else {
                        attempt.run();
                    }
                });
            });
        }

        private String askOf(final Attempt attempt) {
            return world.injectedFault == InjectedFault.OTHERS_HEADERS && random.nextInt(100) == 0
                    ? "another"
                    : attempt.requestId();
        }

        private AttemptResult whole(final Attempt attempt, final String body) {
            return new AttemptResult.Answered(new ResponseContent(
                    200,
                    List.of(new Header("Content-Type", "text/plain"), new Header("X-Answer-To", askOf(attempt))),
                    body.getBytes(StandardCharsets.UTF_8)));
        }

        private void travel(final Attempt attempt, final Consumer<AttemptResult> once) {
            final long way = world.net.sureMs(node.address, attempt.address());
            if (way < 0) {
                return;
            }
            world.sim.after(way, () -> {
                final Up up = byAddress.get(attempt.address());
                if (up == null || !up.running) {
                    back(way, () -> once.accept(new AttemptResult.Lost("reset")));
                } else if (!up.instance.equals(attempt.instance())) {
                    back(way, () -> once.accept(new AttemptResult.NotRun("not the instance that was meant")));
                } else if (up.rejectsNext()) {
                    back(way, () -> once.accept(new AttemptResult.NotRun("rejected")));
                } else {
                    work(attempt, up, once);
                }
            });
        }

        private void work(final Attempt attempt, final Up up, final Consumer<AttemptResult> once) {
            world.begun.add(new SimulatedWorld.Begun(
                    attempt.requestId(),
                    up.instance,
                    up.zone,
                    up.region,
                    node.zone,
                    node.region,
                    world.sim.nowMs() - up.readyAtMs,
                    world.sim.nowMs()));
            final boolean warmingUp = world.sim.nowMs() - up.readyAtMs < SimulatedWorld.WARMUP_MS;
            up.busyUntilMs = Math.max(up.busyUntilMs, world.sim.nowMs()) + up.eachMs;
            final long workMs = up.busyUntilMs
                    - world.sim.nowMs()
                    + (warmingUp ? 20 : 3)
                    + random.nextInt(10)
                    + (up.manner == UpstreamStandIn.Behavior.SLOW ? 1500 : 0);
            world.sim.after(workMs, () -> {
                final long way = world.net.sureMs(attempt.address(), node.address);
                if (way < 0) {
                    return;
                }
                final String whole = "answer to " + attempt.requestId() + " by " + up.instance + " whole";
                final AttemptResult result = !up.running
                        ? new AttemptResult.Lost("reset")
                        : switch (up.manner) {
                            case LOSE ->
                                world.injectedFault == InjectedFault.LOST_AS_NOT_SENT
                                        ? new AttemptResult.NotSent("closed")
                                        : new AttemptResult.Lost("closed");
                            case FLAKY ->
                                random.nextBoolean() ? new AttemptResult.Lost("closed") : whole(attempt, whole);
                            case GARBAGE ->
                                world.injectedFault == InjectedFault.GARBAGE_PASSED
                                        ? whole(attempt, "garbage")
                                        : new AttemptResult.Lost("answer of another instance");
                            case TRUNCATE -> new AttemptResult.Lost("answer: truncated");
                            default -> whole(attempt, whole);
                        };
                back(way, () -> once.accept(result));
            });
        }
    }
}
