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
import spokestall.usage.ReportCall;
import spokestall.usage.ReportCallback;
import spokestall.usage.ReportPermit;
import spokestall.usage.ReportResult;
import spokestall.usage.SendDeadline;
import spokestall.usage.UsageReportClient;

/** The upstreams and the platform of a simulated run. */
final class SimulatedEnvironment {
    /** One upstream process. */
    static final class Upstream {
        final String instance;
        final String service;
        final String address;
        final String zone;
        final String region;
        final long readyAtMs;
        boolean running = true;
        boolean leaving;
        boolean listed = true;
        UpstreamStandIn.Behavior behavior = UpstreamStandIn.Behavior.WELL;
        /** Service time of one request; requests are served one at a time. 0 means unlimited capacity. */
        long serviceTimeMs;

        /** Whether the upstream rejects every second attempt without running it. */
        boolean rejectsHalf;

        private long busyUntilMs;
        private int attempts;

        Upstream(
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
            return rejectsHalf && ++attempts % 2 == 0;
        }
    }

    private final SimulatedWorld world;
    private final Random random;
    private final Map<String, Upstream> byAddress = new TreeMap<>();
    private final Map<String, Upstream> byInstance = new LinkedHashMap<>();
    private final Map<String, Integer> attemptCounts = new TreeMap<>();
    private final Map<String, SimulatedPlatformLink> platformLinks = new TreeMap<>();
    private List<ListedEndpoint> listedEndpoints = new ArrayList<>();
    /** Whether the platform computes the remaining warm-up when it answers, halfway between call and response. */
    private boolean computesWarmUpOnAnswer;

    private int upstreamsMade;
    private long lastReportFreezeMs = -20_000;

    SimulatedEnvironment(final SimulatedWorld world) {
        this.world = world;
        this.random = world.sim.random("outside");
        for (final Deployment.Place p : world.deployment.upstreams()) {
            add(p.service(), address(upstreamsMade), p.zone(), p.region(), -60_000);
        }
        refresh();
    }

    private static String address(final int i) {
        return "10.1." + (i / 200) + "." + (i % 200 + 1) + ":80";
    }

    Upstream add(
            final String service, final String address, final String zone, final String region, final long readyAtMs) {
        final Upstream up = new Upstream(service + "-" + upstreamsMade++, service, address, zone, region, readyAtMs);
        byAddress.put(address, up);
        byInstance.put(up.instance, up);
        world.net.place(address, region);
        return up;
    }

    /** Starts a new instance at a new address as the replacement of an old one. */
    Upstream replace(final Upstream old) {
        return add(old.service, address(upstreamsMade), old.zone, old.region, world.sim.nowMs());
    }

    List<Upstream> running() {
        return byInstance.values().stream().filter(u -> u.running && !u.leaving).toList();
    }

    void stop(final Upstream up) {
        world.sim.trace("upstream " + up.instance + " stops");
        up.running = false;
        if (byAddress.get(up.address) == up) {
            byAddress.remove(up.address);
        }
    }

    /** Rebuilds the platform's list of endpoints every 500 to 1500 ms, so that the list lags behind. */
    private void refresh() {
        final List<ListedEndpoint> now = new ArrayList<>();
        byInstance.values().forEach(u -> {
            if (u.listed) {
                now.add(new ListedEndpoint(
                        u.instance, u.service, u.address, u.zone, u.region, u.leaving, warmUpLeftMs(u), 0));
            }
        });
        listedEndpoints = now;
        world.sim.after(500 + random.nextInt(1000), this::refresh);
    }

    /** Makes the platform compute the remaining warm-up when it answers; the entries of its list still lag. */
    void computeWarmUpOnAnswer() {
        computesWarmUpOnAnswer = true;
    }

    private List<ListedEndpoint> withCurrentWarmUp(final List<ListedEndpoint> lagging) {
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

    private long warmUpLeftMs(final Upstream up) {
        return Math.max(0, up.readyAtMs + SimulatedWorld.WARMUP_MS - world.sim.nowMs());
    }

    /** Returns a node's link to the platform. */
    SimulatedPlatformLink platformLink(final SimulatedNode node) {
        return platformLinks.computeIfAbsent(node.name, name -> new SimulatedPlatformLink(world.sim));
    }

    /** Returns the clients through which one incarnation of a node reaches the upstreams and the platform. */
    NodeClients clientsOf(final SimulatedNode node, final long incarnation) {
        return new NodeClients(node, incarnation);
    }

    /** Upstream, discovery and usage report clients of one incarnation of a node. */
    final class NodeClients implements UpstreamClient, DiscoveryClient, UsageReportClient {
        private final SimulatedNode node;
        private final long incarnation;

        NodeClients(final SimulatedNode node, final long incarnation) {
            this.node = node;
            this.incarnation = incarnation;
        }

        private void runOnNode(final long waitMs, final Runnable event) {
            world.sim.after(waitMs, () -> node.run(incarnation, event));
        }

        @Override
        public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
            if (computesWarmUpOnAnswer) {
                final long wayMs = world.deployment.interRegionRttMs;
                world.sim.after(wayMs, () -> {
                    final List<ListedEndpoint> answer = withCurrentWarmUp(listedEndpoints);
                    runOnNode(wayMs, () -> done.accept(Optional.of(answer)));
                });
                return;
            }
            final List<ListedEndpoint> now = listedEndpoints;
            runOnNode(10 + random.nextInt(40), () -> done.accept(Optional.of(now)));
        }

        @Override
        public void probe(final String address, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
            final Upstream up = byAddress.get(address);
            final long oneWayMs = world.net.oneWayMs(node.address, address);
            if (up == null || oneWayMs < 0 || !up.running) {
                runOnNode(oneWayMs < 0 ? timeoutMillis : 2 * oneWayMs, () -> done.accept(Optional.empty()));
                return;
            }
            runOnNode(
                    2 * oneWayMs + 1,
                    () -> done.accept(
                            !up.running
                                    ? Optional.empty()
                                    : Optional.of(new ProbeResult(
                                            up.instance, up.service, up.leaving, world.sim.nowMs() - up.readyAtMs))));
        }

        @Override
        public void report(
                final ReportCall call,
                final SendDeadline deadline,
                final ReportPermit permit,
                final ReportCallback callback) {
            final long oneWayMs = 5L + random.nextInt(20);
            // Connecting takes a round trip, and checking the link after the first part another one.
            runOnNode(4 * oneWayMs, () -> {
                if (platformLink(node).isCut()) {
                    runOnNode(call.timeoutMillis(), () -> callback.onResult(ReportResult.NOT_SENT));
                    return;
                }
                if (world.injectedFault == InjectedFault.UNANNOUNCED_CALLS) {
                    sendLastByte(call, oneWayMs, deadline, callback);
                    return;
                }
                permit.request(permitted -> {
                    if (permitted) {
                        sendLastByte(call, oneWayMs, deadline, callback);
                    } else {
                        callback.onResult(ReportResult.NOT_SENT);
                    }
                });
            });
        }

        /** The deadline is checked just before the byte is sent. */
        private void sendLastByte(
                final ReportCall call,
                final long oneWayMs,
                final SendDeadline deadline,
                final ReportCallback callback) {
            sendIfInTime(true, deadline::latestMs, () -> callback.onResult(ReportResult.NOT_SENT), () -> {
                final boolean[] ended = {false};
                // The node that runs resets the connection when it gives the call up; the end of its process does, too.
                platformLink(node)
                        .sendLastByte(
                                oneWayMs, () -> ended[0] || node.incarnation() != incarnation, () -> arrive(call));
                final boolean lost = platformLink(node).isCut() || random.nextInt(50) == 0;
                runOnNode(lost ? call.timeoutMillis() : 2 * oneWayMs, () -> {
                    ended[0] = true;
                    callback.onResult(lost ? ReportResult.UNCONFIRMED : ReportResult.ACCEPTED);
                });
            });
        }

        private void arrive(final ReportCall call) {
            final TreeMap<String, Long> counts = new TreeMap<>(call.window().counts());
            if (world.injectedFault == InjectedFault.SWAPPED_TENANTS) {
                final Long first = counts.get(Deployment.tenant(0));
                counts.put(Deployment.tenant(0), counts.getOrDefault(Deployment.tenant(5), 0L));
                counts.put(Deployment.tenant(5), first);
            }
            if (world.injectedFault != InjectedFault.DEAF_PLATFORM || world.sim.nowMs() > 35_000) {
                world.reports.add(new Ledger.Reported(
                        call.holder(), call.fencingToken(), call.window().window(), counts, world.sim.nowMs()));
            }
        }

        @Override
        public AttemptHandle attempt(
                final Attempt attempt,
                final LongSupplier until,
                final Runnable counted,
                final Consumer<AttemptResult> done) {
            final int turn = attemptCounts.merge(attempt.requestId(), 1, Integer::sum);
            final SimulatedWorld.ClientRequest clientRequest = world.requests.get(attempt.requestId());
            world.attempts.add(new SimulatedWorld.Gone(
                    attempt.requestId(),
                    attempt.service(),
                    clientRequest.kind.runOnce() ? 1 : turn,
                    world.sim.nowMs()));
            final long oneWayMs = world.net.oneWayMs(node.address, attempt.address());
            final boolean[] finished = {false};
            final boolean[] sent = {false};
            runOnNode(attempt.timeoutMillis(), () -> {
                if (!finished[0]) {
                    finished[0] = true;
                    done.accept(sent[0] ? new AttemptResult.Lost("timeout") : new AttemptResult.NotSent("timeout"));
                }
            });
            final Consumer<AttemptResult> once = r -> {
                if (!finished[0]) {
                    finished[0] = true;
                    done.accept(r);
                }
            };
            final AttemptHandle handle = () -> runOnNode(
                    0,
                    () -> once.accept(
                            sent[0] ? new AttemptResult.Lost("cancelled") : new AttemptResult.NotSent("cancelled")));
            if (oneWayMs < 0) {
                return handle;
            }
            runOnNode(2 * oneWayMs, () -> {
                if (finished[0]) {
                    return;
                }
                if (byAddress.get(attempt.address()) == null) {
                    once.accept(new AttemptResult.NotSent("refused"));
                    return;
                }
                sendIfInTime(false, until, () -> once.accept(new AttemptResult.NotSent("barred")), () -> {
                    if (!finished[0]) {
                        sent[0] = true;
                        counted.run();
                        deliver(attempt, once);
                    }
                });
            });
            return handle;
        }

        /**
         * Reads the deadline, switches threads, and sends the bytes unless the deadline has passed by then. The node may freeze
         * after reading the deadline.
         */
        private void sendIfInTime(
                final boolean report, final LongSupplier until, final Runnable blocked, final Runnable attempt) {
            runOnNode(0, () -> {
                final long untilMs = until.getAsLong();
                // A report is hit 300 times as often as an attempt, but never two within 20 s: a usage window does not
                // survive two freezes in a row.
                if (random.nextDouble() < (report ? 300 : 1) * world.freezeProbability
                        && (!report || world.sim.nowMs() - lastReportFreezeMs > 20_000)) {
                    lastReportFreezeMs = report ? world.sim.nowMs() : lastReportFreezeMs;
                    node.freeze();
                    world.markDisturbed(node, world.sim.nowMs() + world.freezeMs + 6000);
                    world.sim.after(world.freezeMs, node::thaw);
                }
                runOnNode(random.nextInt(2), () -> {
                    if (node.nowMs() >= untilMs && world.injectedFault != InjectedFault.NO_LAST_LOOK) {
                        blocked.run();
                    } else {
                        attempt.run();
                    }
                });
            });
        }

        private String answeredRequestId(final Attempt attempt) {
            return world.injectedFault == InjectedFault.OTHERS_HEADERS && random.nextInt(100) == 0
                    ? "another"
                    : attempt.requestId();
        }

        private AttemptResult answered(final Attempt attempt, final String body) {
            return new AttemptResult.Answered(new ResponseContent(
                    200,
                    List.of(
                            new Header("Content-Type", "text/plain"),
                            new Header("X-Answer-To", answeredRequestId(attempt))),
                    body.getBytes(StandardCharsets.UTF_8)));
        }

        private void deliver(final Attempt attempt, final Consumer<AttemptResult> once) {
            final long oneWayMs = world.net.reliableOneWayMs(node.address, attempt.address());
            if (oneWayMs < 0) {
                return;
            }
            world.sim.after(oneWayMs, () -> {
                final Upstream up = byAddress.get(attempt.address());
                if (up == null || !up.running) {
                    runOnNode(oneWayMs, () -> once.accept(new AttemptResult.Lost("reset")));
                } else if (!up.instance.equals(attempt.instance())) {
                    runOnNode(oneWayMs, () -> once.accept(new AttemptResult.NotRun("not the instance that was meant")));
                } else if (up.rejectsNext()) {
                    runOnNode(oneWayMs, () -> once.accept(new AttemptResult.NotRun("rejected")));
                } else {
                    execute(attempt, up, once);
                }
            });
        }

        private void execute(final Attempt attempt, final Upstream up, final Consumer<AttemptResult> once) {
            world.executions.add(new SimulatedWorld.Begun(
                    attempt.requestId(),
                    up.instance,
                    up.zone,
                    up.region,
                    node.zone,
                    node.region,
                    world.sim.nowMs() - up.readyAtMs,
                    world.sim.nowMs()));
            final boolean warmingUp = world.sim.nowMs() - up.readyAtMs < SimulatedWorld.WARMUP_MS;
            up.busyUntilMs = Math.max(up.busyUntilMs, world.sim.nowMs()) + up.serviceTimeMs;
            final long workMs = up.busyUntilMs
                    - world.sim.nowMs()
                    + (warmingUp ? 20 : 3)
                    + random.nextInt(10)
                    + (up.behavior == UpstreamStandIn.Behavior.SLOW ? 1500 : 0);
            world.sim.after(workMs, () -> {
                final long oneWayMs = world.net.reliableOneWayMs(attempt.address(), node.address);
                if (oneWayMs < 0) {
                    return;
                }
                final String whole = "answer to " + attempt.requestId() + " by " + up.instance + " whole";
                final AttemptResult result = !up.running
                        ? new AttemptResult.Lost("reset")
                        : switch (up.behavior) {
                            case LOSE ->
                                world.injectedFault == InjectedFault.LOST_AS_NOT_SENT
                                        ? new AttemptResult.NotSent("closed")
                                        : new AttemptResult.Lost("closed");
                            case FLAKY ->
                                random.nextBoolean() ? new AttemptResult.Lost("closed") : answered(attempt, whole);
                            case GARBAGE ->
                                world.injectedFault == InjectedFault.GARBAGE_PASSED
                                        ? answered(attempt, "garbage")
                                        : new AttemptResult.Lost("answer of another instance");
                            case TRUNCATE -> new AttemptResult.Lost("answer: truncated");
                            default -> answered(attempt, whole);
                        };
                runOnNode(oneWayMs, () -> once.accept(result));
            });
        }
    }
}
