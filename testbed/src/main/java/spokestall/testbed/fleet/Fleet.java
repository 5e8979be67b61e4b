package spokestall.testbed.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spokestall.testbed.Deployment;
import spokestall.testbed.standin.PlatformStandIn;
import spokestall.testbed.standin.UpstreamInstance;
import spokestall.testbed.standin.UpstreamStandIn;
import spokestall.testbed.verdict.Ledger;

/** A fleet on one machine: real processes for the nodes, and stand-ins for the upstreams and the platform. */
public final class Fleet implements AutoCloseable {
    private static final int PORTS_PER_NODE = 4;
    private static final int SEED_COUNT = 3;
    /**
     * How long a count may lack the acknowledgement of a majority of the cores before its edge rejects requests; a fleet's own settings
     * override it. All processes share one machine, where under other load an acknowledgement takes longer than the default of 200 ms.
     */
    private static final int UNCOUNTED_MS = 500;

    private static final long STARTED_WAIT_MS = 90_000;
    private static final long POLL_MS = 50;
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Deployment deployment;
    private final Path folder;
    private final LinkConditions links;
    private boolean faultHooksEnabled;
    /** The builds of the members that don't run the testbed's own build. */
    private final Map<FleetMember, NodeBuild> builds = new HashMap<>();

    private final Ledger ledger = new Ledger();
    private final XnioWorker worker;
    private final List<UpstreamInstance> upstreams = new CopyOnWriteArrayList<>();
    private final Map<String, FleetMember> members = new LinkedHashMap<>();
    private final PlatformStandIn platform;
    private final String platformAddress;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /** Creates the stand-in for one upstream. */
    interface UpstreamFactory {
        UpstreamInstance create(Deployment.Place place, int port);
    }

    public Fleet(final Deployment deployment, final Path folder, final int zones, final long delayMs)
            throws IOException {
        this(deployment, folder, FleetLayout.relayed(zones, delayMs), deployment.upstreams(), null, Map.of());
    }

    /** Creates a fleet with the given layout, upstreams and additional node settings; a null factory creates {@link UpstreamStandIn}s. */
    public Fleet(
            final Deployment deployment,
            final Path folder,
            final FleetLayout layout,
            final List<Deployment.Place> places,
            final UpstreamFactory maker,
            final Map<String, String> more)
            throws IOException {
        this.deployment = deployment;
        this.folder = folder;
        this.links = new LinkConditions(layout.delayMs());
        Files.createDirectories(folder);
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
        final Iterator<Integer> ports =
                freePorts(1 + places.size() + PORTS_PER_NODE * layout.nodes()).iterator();
        final int platformPort = ports.next();
        platformAddress = loopbackAddress(platformPort);
        platform = new PlatformStandIn(platformPort, worker, ledger, () -> upstreams, 1000);
        for (final Deployment.Place place : places) {
            final int port = ports.next();
            upstreams.add(
                    maker != null
                            ? maker.create(place, port)
                            : new UpstreamStandIn(place, port, worker, ledger, 5, 60_000));
        }
        final List<MemberPorts> memberPorts = new ArrayList<>();
        for (int i = 0; i < layout.nodes(); i++) {
            memberPorts.add(new MemberPorts(ports.next(), ports.next(), ports.next(), ports.next()));
        }
        final List<String> seeds = new ArrayList<>();
        for (int i = 0; i < SEED_COUNT; i++) {
            seeds.add(loopbackAddress(memberPorts.get((1 + layout.edgesPerZone()) * (i % layout.zones())).advertised));
        }
        final Iterator<MemberPorts> nextPorts = memberPorts.iterator();
        for (int zone = 0; zone < layout.zones(); zone++) {
            for (int node = 0; node <= layout.edgesPerZone(); node++) {
                addMember(layout, zone, node, nextPorts.next(), seeds, more);
            }
        }
    }

    /** The ports of one node: the port that other nodes connect to, the port it listens on for them, and those for clients and operators. */
    private record MemberPorts(int advertised, int listen, int http, int operators) {}

    private static String loopbackAddress(final int port) {
        return "127.0.0.1:" + port;
    }

    /** Adds a zone's core, which is node 0 of the zone, or one of its edges. */
    private void addMember(
            final FleetLayout layout,
            final int zone,
            final int node,
            final MemberPorts ports,
            final List<String> seeds,
            final Map<String, String> more)
            throws IOException {
        final boolean relayed = layout.links() == FleetLayout.Links.RELAYED;
        final boolean core = node == 0;
        final String name = Deployment.zone(zone) + (core ? "-core" : node == 1 ? "-edge" : "-edge-" + node);
        final ObjectNode settings = JSON.createObjectNode()
                .put("name", name)
                .put("address", loopbackAddress(ports.advertised))
                .put("listen", loopbackAddress(relayed ? ports.listen : ports.advertised))
                .put("http", loopbackAddress(ports.http))
                .put("district", Deployment.zone(zone))
                .put("operators", loopbackAddress(ports.operators))
                .put("districts", Deployment.zoneSetting())
                .put("seeds", String.join(",", seeds))
                .put("platform", platformAddress)
                .put("cores", layout.zones())
                .put("edges", layout.edges())
                .put("uncountedMs", UNCOUNTED_MS);
        more.forEach(settings::put);
        if (core) {
            settings.put("data", folder.resolve(name).toString());
        }
        final FleetMember member = new FleetMember(
                folder,
                name,
                core,
                loopbackAddress(ports.http),
                loopbackAddress(ports.operators),
                relayed ? new LinkRelay(ports.advertised, ports.listen, name, links) : null);
        member.writeSettings(settings);
        members.put(name, member);
    }

    private static List<Integer> freePorts(final int count) throws IOException {
        final List<ServerSocket> sockets = new ArrayList<>();
        final List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            socket.setReuseAddress(true);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    public Path folder() {
        return folder;
    }

    public Ledger ledger() {
        return ledger;
    }

    public Map<String, FleetMember> members() {
        return members;
    }

    List<UpstreamInstance> upstreams() {
        return upstreams;
    }

    /** Starts a cold upstream at the address of one that has stopped, and lists it at the platform; returns the new instance's name. */
    public String replaceUpstream(final UpstreamStandIn old, final Deployment.Place place) {
        final int port = Integer.parseInt(old.address().substring(old.address().indexOf(':') + 1));
        final UpstreamStandIn replacement = new UpstreamStandIn(place, port, worker, ledger, 5, 0);
        upstreams.remove(old);
        upstreams.add(replacement);
        replacement.start();
        return place.instance();
    }

    /** Returns the upstreams as stand-ins whose behavior can be changed. */
    public List<UpstreamStandIn> standIns() {
        return upstreams.stream().map(UpstreamStandIn.class::cast).toList();
    }

    /** Starts all nodes with fault hooks from now on. */
    public void faultHooksEnabled() {
        faultHooksEnabled = true;
    }

    /** Sets the build that a member runs from its next start on. */
    public void useBuild(final FleetMember member, final NodeBuild build) {
        builds.put(member, build);
    }

    /**
     * Starts the stand-ins and nodes, and waits until every node's process has logged its start. The time to launch processes depends on
     * the machine, so callers apply the nodes' own time bounds only after this method returns.
     *
     * @throws IllegalStateException if not all processes have started within {@link #STARTED_WAIT_MS}
     */
    public void start() throws IOException {
        platform.start();
        for (final UpstreamInstance u : upstreams) {
            u.start();
        }
        for (final FleetMember m : members.values()) {
            start(m);
        }
        waitUntil(
                "every process has logged its start",
                STARTED_WAIT_MS,
                () -> members.values().stream().allMatch(FleetMember::hasStarted));
    }

    /** Starts or restarts a member's process. */
    public void start(final FleetMember member) throws IOException {
        member.launch(
                builds.getOrDefault(member, faultHooksEnabled ? NodeBuild.WITH_FAULT_HOOKS : NodeBuild.THIS),
                faultHooksEnabled);
        links.registerProcess(member.name, member.process.pid());
    }

    /** Changes a setting of all nodes; it applies from their next start on at the latest. */
    public void changeSetting(final String key, final int value) throws IOException {
        for (final FleetMember member : members.values()) {
            member.changeSetting(key, Integer.toString(value));
        }
    }

    public LinkConditions links() {
        return links;
    }

    public List<String> memberNames(final java.util.function.Predicate<FleetMember> filter) {
        return members.values().stream().filter(filter).map(m -> m.name).toList();
    }

    public Path recordFile() {
        return folder.resolve("recorded");
    }

    public JsonNode call(final String address, final String method, final ObjectNode params) {
        try {
            final HttpResponse<String> response = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + "/rpc/" + method))
                            .timeout(Duration.ofSeconds(6))
                            .POST(HttpRequest.BodyPublishers.ofString(params.toString()))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return JSON.readTree(response.body());
        } catch (final IOException e) {
            return JSON.createObjectNode();
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return JSON.createObjectNode();
        }
    }

    public JsonNode status(final FleetMember m) {
        return call(m.operators, "status", JSON.createObjectNode()).path("result");
    }

    public FleetMember anyCore() {
        return members.values().stream()
                .filter(m -> m.core && m.isAlive())
                .findFirst()
                .orElseThrow();
    }

    /** Waits until the cores report a running lease holder and returns it. */
    public FleetMember leaseHolder() {
        final String[] name = {""};
        waitUntil("a core holds the lease", 20_000, () -> {
            name[0] = status(anyCore()).path("duty").path("holder").asText();
            return members.containsKey(name[0]) && members.get(name[0]).process.isAlive();
        });
        return members.get(name[0]);
    }

    public void awaitFresh(final FleetMember m) {
        waitUntil(m.name + " is fresh", 20_000, () -> status(m).path("fresh").asBoolean());
    }

    /** Submits the deployment's configuration, with retries under the same change id until it is accepted; returns its version. */
    public long putConfiguration() {
        return putConfiguration("first-policy", deployment.configuration());
    }

    public long putConfiguration(final String changeId, final ObjectNode configuration) {
        final ObjectNode params = JSON.createObjectNode().put("changeId", changeId);
        params.set("policy", configuration);
        final long[] version = {-1};
        waitUntil("the policy is accepted", 30_000, () -> {
            final String to = anyCore().operators;
            params.put(
                    "base",
                    call(to, "policy.get", JSON.createObjectNode())
                            .path("result")
                            .path("version")
                            .asLong());
            final JsonNode reply = call(to, "policy.put", params);
            version[0] = reply.path("result").path("version").asLong(-1);
            return reply.path("code").asInt() == 1000;
        });
        return version[0];
    }

    /** Waits until every running node is fresh at this version or a later one, and every running edge sees all upstreams as ready. */
    public void awaitReady(final long version) {
        waitUntil(
                "every node is fresh at " + version,
                30_000,
                () -> members.values().stream().filter(FleetMember::isAlive).allMatch(m -> {
                    final JsonNode status = status(m);
                    return status.path("fresh").asBoolean()
                            && status.path("version").asLong() >= version;
                }));
        waitUntil(
                "edges see all upstreams as ready",
                30_000,
                () -> members.values().stream()
                        .filter(m -> !m.core)
                        .filter(FleetMember::isAlive)
                        .allMatch(m -> {
                            int ready = 0;
                            for (final JsonNode u : call(m.operators, "upstreams", JSON.createObjectNode())
                                    .path("result")
                                    .path("upstreams")) {
                                ready += u.path("status").asText().equals("READY") ? 1 : 0;
                            }
                            return ready == upstreams.size();
                        }));
    }

    public static void waitUntil(final String condition, final long waitMs, final BooleanSupplier holds) {
        final long endMs = System.nanoTime() / 1_000_000 + waitMs;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() / 1_000_000 > endMs) {
                throw new IllegalStateException("not within " + waitMs + " ms: " + condition);
            }
            pause(POLL_MS);
        }
    }

    /** Sleeps on the calling thread; ignores interrupts. */
    public static void pause(final long ms) {
        final long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(endNanos - System.nanoTime());
        }
    }

    /** Starts the load generator as a process; its exit code is zero if enough requests were served. */
    public Process startLoadGenerator(final int seconds, final double minServedRatio) throws IOException {
        return startLoadGenerator(seconds, minServedRatio, deployment.ratePerS, recordFile());
    }

    public Process startLoadGenerator(final int seconds, final double minServedRatio, final int rate, final Path record)
            throws IOException {
        final Path plan = folder.resolve("plan.json");
        Files.writeString(plan, deployment.loadPlan().toPrettyString());
        final String nodes = String.join(
                ",",
                members.values().stream().filter(m -> !m.core).map(m -> m.http).toList());
        final String java =
                Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "spokestall.cli.Main",
                        "demand",
                        "--to",
                        nodes,
                        "--plan",
                        plan.toString(),
                        "--rate",
                        Integer.toString(rate),
                        "--seconds",
                        Integer.toString(seconds),
                        "--least",
                        Double.toString(minServedRatio),
                        "--echo",
                        "--record",
                        record.toString())
                .inheritIO()
                .start();
    }

    /** Stops every node; returns whether all processes exited cleanly within 15 s each. */
    public boolean stopAll() throws InterruptedException {
        boolean clean = true;
        for (final FleetMember m : members.values()) {
            if (m.isAlive()) {
                m.process.destroy();
            }
        }
        for (final FleetMember m : members.values()) {
            if (m.process != null) {
                final boolean ended = m.process.waitFor(15, TimeUnit.SECONDS);
                clean &= ended && FleetMember.isCleanExit(m.process.exitValue());
                if (!ended) {
                    m.process.destroyForcibly();
                }
            }
        }
        return clean;
    }

    @Override
    public void close() {
        for (final FleetMember member : members.values()) {
            try {
                member.close();
            } catch (final IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        upstreams.forEach(UpstreamInstance::stop);
        platform.stop();
        worker.shutdownNow();
    }
}
