package spokestall.testbed.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.change.ChangeDeadlines;
import spokestall.configuration.change.ChangeDraft;
import spokestall.consensus.Acceptor;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.simulation.Scenario;
import spokestall.testbed.simulation.SimulatedNode;
import spokestall.testbed.simulation.SimulatedWorld;

/** A simulated fleet without clients, to which a test makes operators' calls one by one. */
public final class OperatorFleet {
    public static final ObjectMapper JSON = new ObjectMapper();
    /** The settings of a node on the platform that affect shared state. */
    public static final Map<String, String> PLATFORM_SETTINGS =
            Map.of("cores", "0", "edges", "0", "alsoEdge", "1", "proofMs", "500", "bootstrap", "1");

    /** The settings of a node on the platform that checks no upstream's health. */
    public static final Map<String, String> UNPROBED_SETTINGS =
            Map.of("cores", "0", "edges", "0", "alsoEdge", "1", "bootstrap", "1", "probes", "0");

    private static final long STEP_MS = 5;
    private static final long REPLY_MS = 5000;
    public final SimulatedWorld world;

    /** A call and its reply, null until the reply arrives. */
    public static final class Call {
        public Reply reply;
        long repliedMs;

        public ResultCode result() {
            return reply == null ? null : reply.result();
        }
    }

    public OperatorFleet(final long seed, final Deployment deployment) {
        this(seed, deployment, InjectedFault.NONE);
    }

    public OperatorFleet(final long seed, final Deployment deployment, final InjectedFault injectedFault) {
        this(seed, deployment, injectedFault, Map.of());
    }

    public OperatorFleet(
            final long seed,
            final Deployment deployment,
            final InjectedFault injectedFault,
            final Map<String, String> settings) {
        Logger.getLogger("").setLevel(Level.OFF);
        world = new SimulatedWorld(seed, deployment, false, injectedFault, Scenario.CALM, settings);
    }

    /** Adds edges until the fleet has {@code count} of them; called before the nodes start. */
    public OperatorFleet withEdges(final int count) {
        final int present = (int) nodes().stream().filter(node -> !node.core).count();
        for (int i = present; i < count; i++) {
            world.addEdge("edge-" + i, i);
        }
        return this;
    }

    /** Starts all nodes and submits the deployment's configuration until it is accepted. */
    public OperatorFleet start() {
        world.nodes.values().forEach(SimulatedNode::start);
        awaitFresh();
        final ObjectNode params = JSON.createObjectNode();
        params.set("policy", world.configuration());
        final SimulatedNode core = world.cores().get(0);
        runUntil("the first policy is accepted", 10_000, () -> {
            params.put("base", version(core)).put("changeId", "first");
            return callAndWait(core, "policy.put", params).result() == ResultCode.OK;
        });
        return this;
    }

    /** Waits until every node runs and is fresh, and every core votes. */
    public void awaitFresh() {
        runUntil("all nodes are fresh", 30_000, () -> nodes().stream().allMatch(OperatorFleet::isReady));
    }

    private static boolean isReady(final SimulatedNode node) {
        return node.isRunning()
                && node.node().feedClient().isFresh()
                && (!node.core || node.node().acceptor().state() == Acceptor.State.VOTING);
    }

    public long nowMs() {
        return world.sim.nowMs();
    }

    public void run(final long spanMs) {
        world.sim.run(nowMs() + spanMs);
    }

    public void runUntil(final String condition, final long timeoutMillis, final BooleanSupplier holds) {
        final long endMs = nowMs() + timeoutMillis;
        while (!holds.getAsBoolean()) {
            if (nowMs() > endMs) {
                throw new AssertionError(condition + " not reached within " + timeoutMillis + " ms");
            }
            run(STEP_MS);
        }
    }

    private Consumer<Reply> storeReplyIn(final Call call) {
        return reply -> {
            call.reply = reply;
            call.repliedMs = nowMs();
        };
    }

    /** Makes a call without waiting for its reply. */
    Call call(final SimulatedNode to, final String method, final JsonNode params) {
        final Call call = new Call();
        world.call(to, method, params, storeReplyIn(call));
        return call;
    }

    /** Submits a change without a base version, as the platform's calls do. */
    public void submit(
            final SimulatedNode to,
            final String changeId,
            final ChangeDraft draft,
            final long waitMs,
            final Consumer<Reply> done) {
        submit(to, changeId, draft, ChangeDeadlines.of(waitMs), done);
    }

    /** Submits a change without a base version, with separate deadlines for the change and for the caller's wait. */
    public void submit(
            final SimulatedNode to,
            final String changeId,
            final ChangeDraft draft,
            final ChangeDeadlines deadlines,
            final Consumer<Reply> done) {
        to.run(to.incarnation(), () -> to.node().changeCoordinator().submit(changeId, draft, deadlines, done));
    }

    /** Submits a change against a base version, at any node. */
    public void submitForBaseVersion(
            final SimulatedNode to,
            final long base,
            final String changeId,
            final ChangeDraft draft,
            final Consumer<Reply> done) {
        to.run(to.incarnation(), () -> to.node().changeCoordinator().submitForBaseVersion(base, changeId, draft, done));
    }

    /** Submits a change against a base version and waits for the reply. */
    public Call submitForBaseVersionAndWait(
            final SimulatedNode to, final long base, final String changeId, final ChangeDraft draft) {
        final Call call = new Call();
        submitForBaseVersion(to, base, changeId, draft, storeReplyIn(call));
        return awaitReply(call);
    }

    public List<SimulatedNode> nodes() {
        return List.copyOf(world.nodes.values());
    }

    /** Makes a call and waits for its reply. */
    public Call callAndWait(final SimulatedNode to, final String method, final JsonNode params) {
        return awaitReply(call(to, method, params));
    }

    private Call awaitReply(final Call call) {
        final long endMs = nowMs() + REPLY_MS;
        while (call.reply == null && nowMs() < endMs) {
            run(STEP_MS);
        }
        return call;
    }

    public static long version(final SimulatedNode node) {
        return node.node().configurationStore().configuration().version();
    }

    public long newestVersion() {
        return world.nodes.values().stream()
                .filter(SimulatedNode::isUp)
                .mapToLong(OperatorFleet::version)
                .max()
                .orElse(0);
    }

    /** Returns the parameters of a {@code policy.patch} call that adds one route. */
    public ObjectNode addRouteParams(final long base, final String changeId, final String path) {
        final ObjectNode params = JSON.createObjectNode().put("base", base).put("changeId", changeId);
        params.set("patch", Deployment.routePatch(path, "/more/" + path, world.deployment.largeService));
        return params;
    }

    /** Returns the parameters of a key call for a tenant. */
    public static ObjectNode keyParams(final long base, final String changeId, final int tenant, final String keyId) {
        return JSON.createObjectNode()
                .put("base", base)
                .put("changeId", changeId)
                .put("cell", Deployment.cell(tenant))
                .put("tenant", Deployment.tenant(tenant))
                .put("keyId", keyId);
    }

    public List<SimulatedNode> othersThan(final SimulatedNode node) {
        final List<SimulatedNode> others = new ArrayList<>(world.nodes.values());
        others.remove(node);
        return others;
    }
}
