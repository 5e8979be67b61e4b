package spokestall.proof;

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
import spokestall.ballot.Voter;
import spokestall.policy.Draft;
import spokestall.rpc.Reply;
import spokestall.rpc.Result;

/** A simulated fleet without callers whose operators' calls a test makes one by one. */
final class OperatorFleet {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final long STEP_MS = 5;
    private static final long REPLY_MS = 5000;
    final World world;

    /** A call's reply, once it has come. */
    static final class Call {
        Reply reply;
        long repliedMs;

        Result result() {
            return reply == null ? null : reply.result();
        }
    }

    OperatorFleet(final long seed, final Deployment deployment) {
        this(seed, deployment, Plant.NONE);
    }

    OperatorFleet(final long seed, final Deployment deployment, final Plant plant) {
        this(seed, deployment, plant, Map.of());
    }

    OperatorFleet(final long seed, final Deployment deployment, final Plant plant, final Map<String, String> settings) {
        Logger.getLogger("").setLevel(Level.OFF);
        world = new World(seed, deployment, false, plant, Scenario.CALM, settings);
    }

    /** Starts all nodes and puts the deployment's policy. */
    OperatorFleet begun() {
        world.nodes.values().forEach(SimNode::start);
        fresh();
        final ObjectNode params = JSON.createObjectNode();
        params.set("policy", world.policy());
        final SimNode core = world.cores().get(0);
        until("the first policy is accepted", 10_000, () -> {
            params.put("base", version(core)).put("changeId", "first");
            return done(core, "policy.put", params).result() == Result.OK;
        });
        return this;
    }

    /** Waits until every node is up and proved fresh, and every core votes. */
    void fresh() {
        until("all nodes are fresh", 30_000, () -> nodes().stream().allMatch(OperatorFleet::able));
    }

    private static boolean able(final SimNode node) {
        return node.running()
                && node.node().follower().fresh()
                && (!node.core || node.node().voter().state() == Voter.State.VOTING);
    }

    long nowMs() {
        return world.sim.nowMs();
    }

    void run(final long spanMs) {
        world.sim.run(nowMs() + spanMs);
    }

    void until(final String what, final long mostMs, final BooleanSupplier so) {
        final long endMs = nowMs() + mostMs;
        while (!so.getAsBoolean()) {
            if (nowMs() > endMs) {
                throw new AssertionError(what + " has not come about within " + mostMs + " ms");
            }
            run(STEP_MS);
        }
    }

    private Consumer<Reply> into(final Call call) {
        return reply -> {
            call.reply = reply;
            call.repliedMs = nowMs();
        };
    }

    /** Makes a call and does not wait for its reply. */
    Call call(final SimNode to, final String method, final JsonNode params) {
        final Call call = new Call();
        world.call(to, method, params, into(call));
        return call;
    }

    /** Gives an order without a base of its own, as a platform's calls do. */
    void agree(
            final SimNode to, final String changeId, final Draft draft, final long waitMs, final Consumer<Reply> done) {
        to.run(to.life(), () -> to.node().acceptance().agree(changeId, draft, waitMs, done));
    }

    /** Gives an order made against a base, at any node. */
    void take(final SimNode to, final long base, final String changeId, final Draft draft, final Consumer<Reply> done) {
        to.run(to.life(), () -> to.node().acceptance().take(base, changeId, draft, done));
    }

    /** Gives an order made against a base and waits for its reply. */
    Call taken(final SimNode to, final long base, final String changeId, final Draft draft) {
        final Call call = new Call();
        take(to, base, changeId, draft, into(call));
        return waited(call);
    }

    List<SimNode> nodes() {
        return List.copyOf(world.nodes.values());
    }

    /** Makes a call and waits for its reply. */
    Call done(final SimNode to, final String method, final JsonNode params) {
        return waited(call(to, method, params));
    }

    private Call waited(final Call call) {
        final long endMs = nowMs() + REPLY_MS;
        while (call.reply == null && nowMs() < endMs) {
            run(STEP_MS);
        }
        return call;
    }

    static long version(final SimNode node) {
        return node.node().book().policy().version();
    }

    long newestVersion() {
        return world.nodes.values().stream()
                .filter(SimNode::up)
                .mapToLong(OperatorFleet::version)
                .max()
                .orElse(0);
    }

    /** A patch that adds one binding. */
    ObjectNode bind(final long base, final String changeId, final String path) {
        final ObjectNode params = JSON.createObjectNode().put("base", base).put("changeId", changeId);
        params.putObject("patch")
                .putObject("cells")
                .putObject(Deployment.cell(3))
                .putObject("tenants")
                .putObject(Deployment.tenant(3))
                .putObject("bindings")
                .putObject(path)
                .put("path", "/more/" + path)
                .put("service", world.deployment.big);
        return params;
    }

    /** A key call on a tenant. */
    static ObjectNode key(final long base, final String changeId, final int tenant, final String keyId) {
        return JSON.createObjectNode()
                .put("base", base)
                .put("changeId", changeId)
                .put("cell", Deployment.cell(tenant))
                .put("tenant", Deployment.tenant(tenant))
                .put("keyId", keyId);
    }

    List<SimNode> othersThan(final SimNode node) {
        final List<SimNode> others = new ArrayList<>(world.nodes.values());
        others.remove(node);
        return others;
    }
}
