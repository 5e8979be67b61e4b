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

/** One simulated run's whole world: machines, network, upstreams, platform, clients, operators, and what they saw. */
public final class SimulatedWorld {
    public static final long EPOCH_MS = 1_800_000_000_000L;
    public static final long WINDOW_MS = 5000;
    public static final long WARMUP_MS = 10_000;
    public static final double WARM_PER_S = 5;

    /** One ask that an upstream began, and through which edge. */
    public record Begun(
            String requestId,
            String instance,
            String zone,
            String region,
            String edgeZone,
            String edgeRegion,
            long ageMs,
            long atMs) {}

    /** One go that an edge sent out. */
    public record Gone(String requestId, String service, int turn, long atMs) {}

    /** One final answer that a client got. */
    public record Told(
            String requestId, int code, ExecutionStatus ran, String instance, ResponseContent content, long atMs) {}

    /** Something held from one time to another. */
    public record Span(String what, long fromMs, long untilMs) {}

    /** One ask as its client knows it. */
    public static final class Asked {
        final String requestId;
        public final Deployment.RequestKind kind;
        public final List<Long> sentMs = new ArrayList<>();
        /** When it was admitted, and its span from there; -1 if it never was. */
        long admittedMs = -1;

        long spanMs;
        long answeredMs = -1;
        boolean ran;

        Asked(final String requestId, final Deployment.RequestKind kind) {
            this.requestId = requestId;
            this.kind = kind;
        }
    }

    final InjectedFault injectedFault;
    final int segmentBytes;
    private final Map<String, String> settings;
    /** How often, and for how long, a machine freezes just between its last check and its bytes leaving. */
    double gapShare;

    long gapMs;
    public final VirtualTime sim;
    public final Deployment deployment;
    final SimulatedNetwork net;
    public final MessageTraffic traffic = new MessageTraffic();
    final Judge judge;
    final SimulatedEnvironment outside;
    final SimulatedClients clients;
    public final ExpectedAvailability availability;
    private final Map<String, List<String>> homes = new TreeMap<>();
    public final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    final Map<String, SimulatedNode> byAddress = new TreeMap<>();
    public final List<Begun> begun = new ArrayList<>();
    public final List<Gone> attempts = new ArrayList<>();
    public final List<Told> told = new ArrayList<>();
    public final Map<String, Asked> asked = new LinkedHashMap<>();
    public final List<Ledger.Reported> reported = new ArrayList<>();
    public final List<Span> withdrawn = new ArrayList<>();
    public final List<Span> emptied = new ArrayList<>();
    private final Map<String, Long> disturbedMs = new TreeMap<>();

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
            final Map<String, String> more) {
        this.settings = new TreeMap<>(scenario.settings());
        settings.putAll(injectedFault.settings());
        settings.putAll(more);
        this.segmentBytes = Integer.parseInt(settings.getOrDefault("ringSegmentBytes", "" + scenario.segmentBytes()));
        this.injectedFault = injectedFault;
        this.sim = new VirtualTime(seed, traced);
        this.deployment = deployment;
        this.net = new SimulatedNetwork(sim, deployment.interRegionRttMs);
        this.judge = new Judge(sim::nowMs, sim::trace);
        this.outside = new SimulatedEnvironment(this);
        this.clients = new SimulatedClients(this);
        this.availability = new ExpectedAvailability(this);
        final Random shape = sim.random("shape");
        for (int i = 0; i < Deployment.TENANTS; i++) {
            final List<String> all = new ArrayList<>(Deployment.homeRegions(0));
            Collections.shuffle(all, shape);
            homes.put(
                    Deployment.tenant(i),
                    i < 2 ? Deployment.homeRegions(i) : List.copyOf(all.subList(0, 1 + shape.nextInt(3))));
        }
        for (int i = 0; i < Deployment.ZONES; i++) {
            add(new SimulatedNode(this, Deployment.zone(i) + "-core", true, i, settings));
            add(new SimulatedNode(this, Deployment.zone(i) + "-edge", false, i, settings));
        }
    }

    /** Where a tenant is at home in this run; the large ones are everywhere. */
    public List<String> home(final String tenant) {
        return homes.get(tenant);
    }

    /** The configuration that this run begins with: homes of its own, and some routes that nobody asks by. */
    public ObjectNode configuration() {
        final ObjectNode configuration = deployment.configuration();
        final Random shape = sim.random("policy");
        configuration
                .path("cells")
                .forEach(c -> c.path("tenants").fields().forEachRemaining(t -> {
                    final ArrayNode at = ((ObjectNode) t.getValue()).putArray("homeRegions");
                    homes.get(t.getKey()).forEach(at::add);
                    final ObjectNode routes = (ObjectNode) t.getValue().get("bindings");
                    for (int i = shape.nextInt(1 << shape.nextInt(8)); i > 0; i--) {
                        routes.putObject("idle" + i).put("path", "/idle/" + i).put("service", deployment.smallService);
                    }
                }));
        return configuration;
    }

    /** A machine goes, and comes back at another address with its disk. */
    void move(final SimulatedNode node, final String to) {
        node.kill();
        byAddress.remove(node.address);
        node.address = to;
        node.set("address", to);
        byAddress.put(to, node);
        net.place(to, node.region);
    }

    /** A core more, of a name of its own. */
    SimulatedNode grow(final String name, final int place) {
        final SimulatedNode node = new SimulatedNode(this, name, true, place, settings);
        node.set("bootstrap", "0");
        add(node);
        return node;
    }

    /** Adds an edge beyond the deployment's own. */
    public SimulatedNode addEdge(final String name, final int place) {
        final SimulatedNode node = new SimulatedNode(this, name, false, place, settings);
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

    public <T> T any(final List<T> of, final Random random) {
        return of.get(random.nextInt(of.size()));
    }

    void send(final SimulatedNode from, final long incarnation, final String to, final Message message) {
        final SimulatedNode target = byAddress.get(to);
        if (target == null || from.incarnation() != incarnation) {
            return;
        }
        final long targetIncarnation = target.incarnation();
        if (message instanceof HandoffMessage.Store keep) {
            carried(keep.key(), target);
            if (injectedFault == InjectedFault.KEPT_ABROAD) {
                cores().forEach(c -> carried(keep.key(), c));
            }
        } else if (message instanceof HandoffMessage.FetchResult back && back.content() != null) {
            carried(back.key(), target);
        }
        if (injectedFault == InjectedFault.FORGED_PROOFS && !net.open(from.address, to)) {
            final Message forged = MessageForger.proof(message, from, target);
            if (forged != null) {
                sim.after(1, () -> from.hear(incarnation, forged));
            }
        }
        traffic.sent(
                from,
                target,
                message,
                net.carry(
                        from.address,
                        to,
                        MessageForger.altered(injectedFault, message),
                        from.messageVersion(),
                        arrived -> target.hear(targetIncarnation, arrived)));
    }

    /** A kept answer goes to a node: it must be at home there. */
    private void carried(final String key, final SimulatedNode to) {
        final String tenant = key.split("/")[1];
        judge.check(Rule.HOME, home(tenant).contains(to.region) ? 0 : 2, "kept " + key + " carried to " + to.region);
    }

    /** Cuts two groups of nodes off from each other, or joins them again. */
    public void part(final List<SimulatedNode> ones, final List<SimulatedNode> others, final boolean now) {
        for (final SimulatedNode one : ones) {
            for (final SimulatedNode other : others) {
                if (one != other) {
                    net.cutBoth(one.address, other.address, now);
                }
            }
        }
    }

    /** Says that a node is being meddled with until then. */
    void disturb(final SimulatedNode node, final long untilMs) {
        disturbedMs.merge(node.name, untilMs, Math::max);
    }

    boolean undisturbed(final SimulatedNode node, final long sinceMs) {
        return disturbedMs.getOrDefault(node.name, -1L) < sinceMs && !availability.unable(sinceMs, sim.nowMs());
    }

    /** The core that holds the duty now, or null. */
    SimulatedNode holder() {
        for (final SimulatedNode core : cores()) {
            if (core.up() && core.node().leaseManager().session() != null) {
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
        if (to.running()) {
            to.run(to.incarnation(), () -> to.node().call(method, params, done));
        }
    }
}
