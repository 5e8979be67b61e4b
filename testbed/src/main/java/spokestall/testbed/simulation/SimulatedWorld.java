package spokestall.testbed.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import spokestall.handoff.HandoffMessage;
import spokestall.message.Message;
import spokestall.message.ResponseContent;
import spokestall.proxy.ExecutionStatus;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.verdict.Judge;
import spokestall.testbed.verdict.Ledger;
import spokestall.testbed.verdict.Rule;

/** State of one simulated run: machines, network, upstreams, platform and clients, and what they recorded. */
public final class SimulatedWorld {
    public static final long EPOCH_MS = 1_800_000_000_000L;
    public static final long WINDOW_MS = 5000;
    public static final long WARMUP_MS = 10_000;
    public static final double WARM_PER_S = 5;

    /** One request that an upstream began to run, and the place of the edge that sent it. */
    public record Begun(
            String requestId,
            String instance,
            String zone,
            String region,
            String edgeZone,
            String edgeRegion,
            long ageMs,
            long atMs) {}

    /** One attempt that an edge sent to an upstream. */
    public record Gone(String requestId, String service, int turn, long atMs) {}

    /** One final response that a client received. */
    public record Told(
            String requestId, int code, ExecutionStatus ran, String instance, ResponseContent content, long atMs) {}

    /** Interval in which a condition held for its subject, such as a withdrawn key or a drained zone. */
    public record Interval(String subject, long fromMs, long untilMs) {}

    /** One request as its client sees it. */
    public static final class ClientRequest {
        final String requestId;
        public final Deployment.RequestKind kind;
        public final List<Long> sentMs = new ArrayList<>();
        /** When an edge admitted the request, or -1 if none has. {@link #remainingMs} counts from this time. */
        long admittedMs = -1;

        long remainingMs;
        long answeredMs = -1;
        boolean ran;

        ClientRequest(final String requestId, final Deployment.RequestKind kind) {
            this.requestId = requestId;
            this.kind = kind;
        }
    }

    final InjectedFault injectedFault;
    final int segmentBytes;
    private final Map<String, String> settings;
    /** Probability and duration of a freeze between a node's last deadline check and its sending of the bytes. */
    double freezeProbability;

    long freezeMs;
    public final VirtualTime sim;
    public final Deployment deployment;
    final SimulatedNetwork net;
    public final MessageTraffic traffic = new MessageTraffic();
    final Judge judge;
    final SimulatedEnvironment environment;
    final SimulatedClients clients;
    public final ExpectedAvailability availability;
    private final Map<String, List<String>> homeRegions = new TreeMap<>();
    public final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    final Map<String, SimulatedNode> byAddress = new TreeMap<>();
    public final List<Begun> executions = new ArrayList<>();
    public final List<Gone> attempts = new ArrayList<>();
    public final List<Told> responses = new ArrayList<>();
    public final Map<String, ClientRequest> requests = new LinkedHashMap<>();
    public final List<Ledger.Reported> reports = new ArrayList<>();
    public final List<Interval> withdrawnKeys = new ArrayList<>();
    public final List<Interval> drained = new ArrayList<>();
    private final Map<String, Long> disturbedUntilMs = new TreeMap<>();

    public SimulatedWorld(
            final long seed,
            final Deployment deployment,
            final boolean traced,
            final InjectedFault injectedFault,
            final Scenario scenario) {
        this(seed, deployment, traced, injectedFault, scenario, Map.of());
    }

    public SimulatedWorld(
            final long seed,
            final Deployment deployment,
            final boolean traced,
            final InjectedFault injectedFault,
            final Scenario scenario,
            final Map<String, String> extraSettings) {
        this.settings = new TreeMap<>(scenario.settings());
        settings.putAll(injectedFault.settings());
        settings.putAll(extraSettings);
        this.segmentBytes = Integer.parseInt(settings.getOrDefault("ringSegmentBytes", "" + scenario.segmentBytes()));
        this.injectedFault = injectedFault;
        this.sim = new VirtualTime(seed, traced);
        this.deployment = deployment;
        this.net = new SimulatedNetwork(sim, deployment.interRegionRttMs);
        this.judge = new Judge(sim::nowMs, sim::trace);
        this.environment = new SimulatedEnvironment(this);
        this.clients = new SimulatedClients(this);
        this.availability = new ExpectedAvailability(this);
        final Random shape = sim.random("shape");
        for (int i = 0; i < Deployment.TENANTS; i++) {
            final List<String> all = new ArrayList<>(Deployment.homeRegions(0));
            Collections.shuffle(all, shape);
            homeRegions.put(
                    Deployment.tenant(i),
                    i < 2 ? Deployment.homeRegions(i) : List.copyOf(all.subList(0, 1 + shape.nextInt(3))));
        }
        for (int i = 0; i < Deployment.ZONES; i++) {
            add(new SimulatedNode(this, Deployment.zone(i) + "-core", true, i, settings));
            add(new SimulatedNode(this, Deployment.zone(i) + "-edge", false, i, settings));
        }
    }

    /** Returns a tenant's home regions in this run. The two large tenants are at home in all regions. */
    public List<String> homeRegions(final String tenant) {
        return homeRegions.get(tenant);
    }

    /** Returns the initial configuration of this run, with its own home regions and some routes that no client uses. */
    public ObjectNode configuration() {
        final ObjectNode configuration = deployment.configuration();
        final Random shape = sim.random("policy");
        configuration
                .path("cells")
                .forEach(c -> c.path("tenants").fields().forEachRemaining(t -> {
                    final ArrayNode at = ((ObjectNode) t.getValue()).putArray("homeRegions");
                    homeRegions.get(t.getKey()).forEach(at::add);
                    final ObjectNode routes = (ObjectNode) t.getValue().get("bindings");
                    for (int i = shape.nextInt(1 << shape.nextInt(8)); i > 0; i--) {
                        routes.putObject("idle" + i).put("path", "/idle/" + i).put("service", deployment.smallService);
                    }
                }));
        return configuration;
    }

    /** Kills a node and moves it with its disk to another address. The caller starts it again. */
    void moveAddress(final SimulatedNode node, final String to) {
        node.kill();
        byAddress.remove(node.address);
        node.address = to;
        node.changeSetting("address", to);
        byAddress.put(to, node);
        net.place(to, node.region);
    }

    /** Adds a core under a new name, without starting it. */
    SimulatedNode addCore(final String name, final int zoneIndex) {
        final SimulatedNode node = new SimulatedNode(this, name, true, zoneIndex, settings);
        node.changeSetting("bootstrap", "0");
        add(node);
        return node;
    }

    /** Adds an edge beyond the deployment's own. */
    public SimulatedNode addEdge(final String name, final int zoneIndex) {
        final SimulatedNode node = new SimulatedNode(this, name, false, zoneIndex, settings);
        add(node);
        return node;
    }

    private void add(final SimulatedNode node) {
        nodes.put(node.name, node);
        byAddress.put(node.address, node);
    }

    public List<SimulatedNode> cores() {
        return nodes.values().stream().filter(n -> n.core).toList();
    }

    List<SimulatedNode> edges() {
        return nodes.values().stream().filter(n -> !n.core).toList();
    }

    List<SimulatedNode> inRegion(final String region) {
        return nodes.values().stream().filter(n -> n.region.equals(region)).toList();
    }

    List<SimulatedNode> inZone(final String zone) {
        return nodes.values().stream().filter(n -> n.zone.equals(zone)).toList();
    }

    public <T> T pick(final List<T> of, final Random random) {
        return of.get(random.nextInt(of.size()));
    }

    void send(final SimulatedNode from, final long incarnation, final String to, final Message message) {
        final SimulatedNode target = byAddress.get(to);
        if (target == null || from.incarnation() != incarnation) {
            return;
        }
        final long targetIncarnation = target.incarnation();
        if (message instanceof HandoffMessage.Store store) {
            checkAnswerLocation(store.key(), target);
            if (injectedFault == InjectedFault.KEPT_ABROAD) {
                cores().forEach(c -> checkAnswerLocation(store.key(), c));
            }
        } else if (message instanceof HandoffMessage.FetchResult fetchResult && fetchResult.content() != null) {
            checkAnswerLocation(fetchResult.key(), target);
        }
        if (injectedFault == InjectedFault.FORGED_PROOFS && !net.isOpen(from.address, to)) {
            final Message forged = MessageForger.forgeFreshnessResponse(message, from, target);
            if (forged != null) {
                sim.after(1, () -> from.deliver(incarnation, forged));
            }
        }
        traffic.onSent(
                from,
                target,
                message,
                net.carry(
                        from.address,
                        to,
                        MessageForger.alter(injectedFault, message),
                        from.messageVersion(),
                        arrived -> target.deliver(targetIncarnation, arrived)));
    }

    /** Checks that a stored response is sent only to nodes in its tenant's home regions. */
    private void checkAnswerLocation(final String key, final SimulatedNode to) {
        final String tenant = key.split("/")[1];
        judge.check(
                Rule.HOME, homeRegions(tenant).contains(to.region) ? 0 : 2, "kept " + key + " carried to " + to.region);
    }

    /** Cuts all links between two groups of nodes, or restores them. */
    public void setPartitioned(
            final List<SimulatedNode> ones, final List<SimulatedNode> others, final boolean partitioned) {
        for (final SimulatedNode one : ones) {
            for (final SimulatedNode other : others) {
                if (one != other) {
                    net.cutBoth(one.address, other.address, partitioned);
                }
            }
        }
    }

    /** Records that injected failures affect a node until the given time. */
    void markDisturbed(final SimulatedNode node, final long untilMs) {
        disturbedUntilMs.merge(node.name, untilMs, Math::max);
    }

    boolean undisturbed(final SimulatedNode node, final long sinceMs) {
        return disturbedUntilMs.getOrDefault(node.name, -1L) < sinceMs
                && !availability.unavailable(sinceMs, sim.nowMs());
    }

    /** Returns a core that has a lease session, or null if none has. */
    SimulatedNode leaseHolder() {
        for (final SimulatedNode core : cores()) {
            if (core.isUp() && core.node().leaseManager().session() != null) {
                return core;
            }
        }
        return null;
    }

    public void call(
            final SimulatedNode to,
            final String method,
            final JsonNode params,
            final java.util.function.Consumer<spokestall.api.Reply> done) {
        if (to.isRunning()) {
            to.run(to.incarnation(), () -> to.node().call(method, params, done));
        }
    }
}
