package spokestall.testbed.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.testbed.Deployment;
import spokestall.testbed.verdict.Rule;

/**
 * Simulated operators. They change the configuration, race each other, send stale and invalid changes, and retry changes whose
 * outcome is unknown.
 */
final class SimulatedOperator {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PROPAGATION_MS = Rule.POLICY.strictBoundMs;
    private final SimulatedWorld world;
    private final Random random;
    private final Set<String> accepted = new HashSet<>();
    private final Set<String> rejected = new HashSet<>();
    private int changesMade;
    long slowestPropagationMs;

    SimulatedOperator(final SimulatedWorld world) {
        this.world = world;
        this.random = world.sim.random("operator");
    }

    Set<String> accepted() {
        return accepted;
    }

    /** Sends the deployment's configuration, and runs {@code then} once it is accepted. */
    void putInitialConfiguration(final Runnable then) {
        final ObjectNode params = JSON.createObjectNode();
        params.set("policy", world.configuration());
        change("policy.put", params, "first", world.sim.nowMs() + 60_000, at -> then.run());
    }

    /** Adds a route that is named after the change, so that {@link #checkFinalConfiguration} can look for it. */
    void addRoute() {
        addRoute(world.sim.nowMs() + 8000);
    }

    private void addRoute(final long untilMs) {
        final String id = "bind-" + changesMade++;
        change("policy.patch", patch(id, 1), id, untilMs, at -> {});
    }

    /** Adds many routes in one change. */
    void addRoutes(final int routes) {
        final String id = "bind-" + changesMade++;
        change("policy.patch", patch(id, routes), id, world.sim.nowMs() + 8000, at -> {});
    }

    private ObjectNode patch(final String id, final int routes) {
        final ObjectNode params = JSON.createObjectNode();
        final ObjectNode at = params.putObject("patch")
                .putObject("cells")
                .putObject(Deployment.cell(3))
                .putObject("tenants")
                .putObject(Deployment.tenant(3))
                .putObject("bindings");
        at.putObject(id).put("path", "/more/" + id).put("service", world.deployment.largeService);
        for (int i = 1; i < routes; i++) {
            at.putObject(id + "." + i)
                    .put("path", "/more/" + id + "/" + i)
                    .put("service", world.deployment.largeService);
        }
        return params;
    }

    /** Starts two changes at the same time, each at a random core, so that they race on one base version. */
    void raceTwoChanges() {
        addRoute();
        addRoute();
    }

    /** Sends two changes that must be rejected: one with an unknown home region, and one on a long outdated base version. */
    void sendInvalidChanges() {
        final String bad = "bad-" + changesMade++;
        final ObjectNode invalid = patch(bad, 1);
        ((ObjectNode) invalid.at("/patch/cells/" + Deployment.cell(3) + "/tenants/" + Deployment.tenant(3)))
                .putArray("homeRegions")
                .add("nowhere");
        change(
                "policy.patch",
                invalid,
                bad,
                world.sim.nowMs() + 3000,
                at -> world.judge.violated(Rule.POLICY, bad + " is invalid and was accepted"));
        final String stale = "stale-" + changesMade++;
        final SimulatedNode core = world.pick(world.cores(), random);
        final ObjectNode old = patch(stale, 1);
        old.put("base", 1).put("changeId", stale);
        world.call(core, "policy.patch", old, reply -> {
            rejected.add(stale);
            world.judge.check(Rule.POLICY, reply.result().number() == 1000 ? 2 : 0, stale + " was accepted");
        });
    }

    void drainZone(final String zone, final long spanMs) {
        final ObjectNode set = JSON.createObjectNode().put("district", zone);
        change("hold.set", set, "hold-" + changesMade++, world.sim.nowMs() + 8000, at -> {
            final int slot = world.drained.size();
            world.drained.add(new SimulatedWorld.Interval(zone, at, Long.MAX_VALUE));
            world.sim.after(spanMs, () -> {
                world.drained.set(slot, new SimulatedWorld.Interval(zone, at, world.sim.nowMs()));
                change(
                        "hold.clear",
                        JSON.createObjectNode().put("district", zone),
                        "clear-" + changesMade++,
                        world.sim.nowMs() + 30_000,
                        done -> {});
            });
        });
    }

    void withdrawKey(final int tenant, final long spanMs) {
        final ObjectNode params = key(tenant);
        change("key.withdraw", params, "withdraw-" + changesMade++, world.sim.nowMs() + 8000, at -> {
            final int slot = world.withdrawnKeys.size();
            world.withdrawnKeys.add(new SimulatedWorld.Interval(Deployment.key(tenant), at, Long.MAX_VALUE));
            world.sim.after(spanMs, () -> {
                world.withdrawnKeys.set(
                        slot, new SimulatedWorld.Interval(Deployment.key(tenant), at, world.sim.nowMs()));
                change(
                        "key.add",
                        key(tenant).put("key", Deployment.key(tenant)),
                        "add-" + changesMade++,
                        world.sim.nowMs() + 30_000,
                        done -> {});
            });
        });
    }

    private static ObjectNode key(final int tenant) {
        return JSON.createObjectNode()
                .put("cell", Deployment.cell(tenant))
                .put("tenant", Deployment.tenant(tenant))
                .put("keyId", "main");
    }

    /** Sends a change, and retries it until its outcome is known or the time is over. */
    private void change(
            final String method,
            final ObjectNode params,
            final String id,
            final long untilMs,
            final LongConsumer then) {
        new ChangeAttempt(method, params, id, untilMs, then).rebaseAndSend();
    }

    /** One change and its retries. */
    private final class ChangeAttempt {
        private final String method;
        private final ObjectNode params;
        private final String id;
        private final long untilMs;
        private final LongConsumer then;
        private int calls;
        private boolean outcomeUnknown;

        ChangeAttempt(
                final String method,
                final ObjectNode params,
                final String id,
                final long untilMs,
                final LongConsumer then) {
            this.method = method;
            this.params = params;
            this.id = id;
            this.untilMs = untilMs;
            this.then = then;
        }

        /** Reads the configuration version from a random core, and sends the change on that base. */
        void rebaseAndSend() {
            final SimulatedNode core = world.pick(world.cores(), random);
            call(core, "policy.get", JSON.createObjectNode(), reply -> sendOnBase(core, reply), this::rebaseAndSend);
        }

        private void sendOnBase(final SimulatedNode core, final Reply reply) {
            if (reply.result() != ResultCode.OK) {
                world.sim.after(300, this::rebaseAndSend);
                return;
            }
            params.put("base", reply.fields().path("version").asLong()).put("changeId", id);
            send(core);
        }

        private void call(
                final SimulatedNode core,
                final String what,
                final ObjectNode with,
                final Consumer<Reply> done,
                final Runnable onTimeout) {
            if (world.sim.nowMs() > untilMs) {
                world.sim.trace("change " + id + " given up, unclear " + outcomeUnknown);
                return;
            }
            final int call = ++calls;
            world.sim.after(4000, () -> {
                if (calls == call) {
                    outcomeUnknown |= what.equals(method);
                    onTimeout.run();
                }
            });
            if (!core.isRunning()) {
                world.sim.after(200, () -> {
                    if (calls == call) {
                        calls++;
                        onTimeout.run();
                    }
                });
                return;
            }
            world.call(core, what, with, reply -> {
                if (calls == call) {
                    calls++;
                    done.accept(reply);
                }
            });
        }

        private void send(final SimulatedNode core) {
            call(core, method, params.deepCopy(), this::onReply, () -> send(world.pick(world.cores(), random)));
        }

        private void onReply(final Reply reply) {
            world.sim.trace("change " + id + " told " + reply.result());
            switch (reply.result()) {
                case OK -> {
                    accepted.add(id);
                    then.accept(world.sim.nowMs());
                    measurePropagation(reply.fields().path("version").asLong(), world.sim.nowMs(), world.edges());
                    checkPropagated(reply.fields().path("version").asLong(), world.sim.nowMs());
                }
                case UNDECIDED, NOT_READY -> {
                    outcomeUnknown |= reply.result() == ResultCode.UNDECIDED;
                    world.sim.after(300, () -> {
                        if (outcomeUnknown) {
                            send(world.pick(world.cores(), random));
                        } else {
                            rebaseAndSend();
                        }
                    });
                }
                case STALE_BASE -> {
                    // Another change took the next version. As an operator would, retry under a new id.
                    rejected.add(id);
                    if (!id.startsWith("bind")) {
                        new ChangeAttempt(method, params, id + "+", untilMs, then).rebaseAndSend();
                    }
                }
                default -> rejected.add(id);
            }
        }

        /** Checks how long each undisturbed edge takes to apply the change. */
        private void measurePropagation(final long version, final long atMs, final List<SimulatedNode> edgesBehind) {
            final long spentMs = world.sim.nowMs() - atMs;
            final List<SimulatedNode> left = new ArrayList<>();
            for (final SimulatedNode edge : edgesBehind) {
                if (!edge.isRunning() || !world.undisturbed(edge, atMs)) {
                    continue;
                }
                if (edge.node().configurationStore().configuration().version() >= version) {
                    slowestPropagationMs = Math.max(slowestPropagationMs, spentMs);
                    world.judge.check(
                            Rule.POLICY,
                            spentMs / (double) Rule.POLICY.strictBoundMs,
                            edge.name + " had " + id + " after " + spentMs + " ms");
                } else {
                    left.add(edge);
                }
            }
            if (!left.isEmpty() && spentMs <= PROPAGATION_MS) {
                world.sim.after(10, () -> measurePropagation(version, atMs, left));
            }
        }

        /** Checks after the bound that every undisturbed edge has the change, and that no edge without it serves requests. */
        private void checkPropagated(final long version, final long atMs) {
            world.sim.after(PROPAGATION_MS, () -> {
                for (final SimulatedNode edge : world.edges()) {
                    if (edge.isRunning()) {
                        final boolean has =
                                edge.node().configurationStore().configuration().version() >= version;
                        final boolean serves = edge.node().feedClient().isFresh();
                        final boolean alone = world.undisturbed(edge, atMs);
                        world.judge.check(
                                Rule.POLICY,
                                !has && (serves || alone) ? 2 : 0,
                                edge.name + " lacks " + version + " of " + id + " after " + PROPAGATION_MS
                                        + " ms, serves " + serves);
                    }
                }
            });
        }
    }

    /**
     * Checks at the end of a run that every fresh node has each accepted route, unless a majority of the disks was lost, and that none
     * has a rejected one.
     */
    void checkFinalConfiguration(final boolean majorityDisksLost) {
        for (final SimulatedNode node : world.nodes.values()) {
            if (!node.isRunning() || !node.node().feedClient().isFresh()) {
                continue;
            }
            final var routes = node.node()
                    .configurationStore()
                    .configuration()
                    .tree()
                    .path("cells")
                    .path(Deployment.cell(3))
                    .path("tenants")
                    .path(Deployment.tenant(3))
                    .path("bindings");
            for (final String id : List.copyOf(accepted)) {
                if (id.startsWith("bind")) {
                    world.judge.check(
                            Rule.POLICY, routes.has(id) || majorityDisksLost ? 0 : 2, node.name + " lost " + id);
                }
            }
            for (final String id : List.copyOf(rejected)) {
                world.judge.check(Rule.POLICY, routes.has(id) ? 2 : 0, node.name + " has denied " + id);
            }
        }
    }
}
