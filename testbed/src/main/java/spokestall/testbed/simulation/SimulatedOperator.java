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

/** Operators that change the configuration, race each other, send what is stale or invalid, and repeat what is unclear. */
final class SimulatedOperator {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long IN_FORCE_MS = Rule.POLICY.nearMs;
    private final SimulatedWorld world;
    private final Random random;
    private final Set<String> accepted = new HashSet<>();
    private final Set<String> rejected = new HashSet<>();
    private int made;
    long slowestMs;

    SimulatedOperator(final SimulatedWorld world) {
        this.world = world;
        this.random = world.sim.random("operator");
    }

    Set<String> accepted() {
        return accepted;
    }

    /** Puts the deployment's configuration; then is run once it is accepted. */
    void first(final Runnable then) {
        final ObjectNode params = JSON.createObjectNode();
        params.set("policy", world.configuration());
        change("policy.put", params, "first", world.sim.nowMs() + 60_000, at -> then.run());
    }

    /** Adds a route that carries the change's own name, so that it can be looked for later. */
    void bind() {
        bind(world.sim.nowMs() + 8000);
    }

    private void bind(final long untilMs) {
        final String id = "bind-" + made++;
        change("policy.patch", patch(id, 1), id, untilMs, at -> {});
    }

    /** Adds very many routes at once. */
    void grow(final int routes) {
        final String id = "bind-" + made++;
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

    /** Two operators at once, on two cores, against the same base. */
    void race() {
        bind();
        bind();
    }

    /** What must be denied: unknown home region, and a base that is long gone. */
    void wrong() {
        final String bad = "bad-" + made++;
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
        final String stale = "stale-" + made++;
        final SimulatedNode core = world.any(world.cores(), random);
        final ObjectNode old = patch(stale, 1);
        old.put("base", 1).put("changeId", stale);
        world.call(core, "policy.patch", old, reply -> {
            rejected.add(stale);
            world.judge.check(Rule.POLICY, reply.result().number() == 1000 ? 2 : 0, stale + " was accepted");
        });
    }

    void hold(final String zone, final long spanMs) {
        final ObjectNode set = JSON.createObjectNode().put("district", zone);
        change("hold.set", set, "hold-" + made++, world.sim.nowMs() + 8000, at -> {
            final int slot = world.emptied.size();
            world.emptied.add(new SimulatedWorld.Span(zone, at, Long.MAX_VALUE));
            world.sim.after(spanMs, () -> {
                world.emptied.set(slot, new SimulatedWorld.Span(zone, at, world.sim.nowMs()));
                change(
                        "hold.clear",
                        JSON.createObjectNode().put("district", zone),
                        "clear-" + made++,
                        world.sim.nowMs() + 30_000,
                        done -> {});
            });
        });
    }

    void withdraw(final int tenant, final long spanMs) {
        final ObjectNode params = key(tenant);
        change("key.withdraw", params, "withdraw-" + made++, world.sim.nowMs() + 8000, at -> {
            final int slot = world.withdrawn.size();
            world.withdrawn.add(new SimulatedWorld.Span(Deployment.key(tenant), at, Long.MAX_VALUE));
            world.sim.after(spanMs, () -> {
                world.withdrawn.set(slot, new SimulatedWorld.Span(Deployment.key(tenant), at, world.sim.nowMs()));
                change(
                        "key.add",
                        key(tenant).put("key", Deployment.key(tenant)),
                        "add-" + made++,
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

    /** One change from its first try until its outcome is known or the time is over. */
    private void change(
            final String method,
            final ObjectNode params,
            final String id,
            final long untilMs,
            final LongConsumer then) {
        new Try(method, params, id, untilMs, then).fresh();
    }

    /** One change's tries. */
    private final class Try {
        private final String method;
        private final ObjectNode params;
        private final String id;
        private final long untilMs;
        private final LongConsumer then;
        private int calls;
        private boolean unclear;

        Try(
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

        /** Begins against the newest version a core tells. */
        void fresh() {
            final SimulatedNode core = world.any(world.cores(), random);
            ask(core, "policy.get", JSON.createObjectNode(), reply -> based(core, reply), this::fresh);
        }

        private void based(final SimulatedNode core, final Reply reply) {
            if (reply.result() != ResultCode.OK) {
                world.sim.after(300, this::fresh);
                return;
            }
            params.put("base", reply.fields().path("version").asLong()).put("changeId", id);
            send(core);
        }

        private void ask(
                final SimulatedNode core,
                final String what,
                final ObjectNode with,
                final Consumer<Reply> done,
                final Runnable silent) {
            if (world.sim.nowMs() > untilMs) {
                world.sim.trace("change " + id + " given up, unclear " + unclear);
                return;
            }
            final int call = ++calls;
            world.sim.after(4000, () -> {
                if (calls == call) {
                    unclear |= what.equals(method);
                    silent.run();
                }
            });
            if (!core.running()) {
                world.sim.after(200, () -> {
                    if (calls == call) {
                        calls++;
                        silent.run();
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
            ask(core, method, params.deepCopy(), this::told, () -> send(world.any(world.cores(), random)));
        }

        private void told(final Reply reply) {
            world.sim.trace("change " + id + " told " + reply.result());
            switch (reply.result()) {
                case OK -> {
                    accepted.add(id);
                    then.accept(world.sim.nowMs());
                    arrives(reply.fields().path("version").asLong(), world.sim.nowMs(), world.edges());
                    inForce(reply.fields().path("version").asLong(), world.sim.nowMs());
                }
                case UNDECIDED, NOT_READY -> {
                    unclear |= reply.result() == ResultCode.UNDECIDED;
                    world.sim.after(300, () -> {
                        if (unclear) {
                            send(world.any(world.cores(), random));
                        } else {
                            fresh();
                        }
                    });
                }
                case STALE_BASE -> {
                    // Its one place went to another change: it may be tried anew under a new name, as an operator
                    // would.
                    rejected.add(id);
                    if (!id.startsWith("bind")) {
                        new Try(method, params, id + "+", untilMs, then).fresh();
                    }
                }
                default -> rejected.add(id);
            }
        }

        /** How long until each edge that is left alone has it. */
        private void arrives(final long version, final long atMs, final List<SimulatedNode> lacking) {
            final long spentMs = world.sim.nowMs() - atMs;
            final List<SimulatedNode> left = new ArrayList<>();
            for (final SimulatedNode edge : lacking) {
                if (!edge.running() || !world.undisturbed(edge, atMs)) {
                    continue;
                }
                if (edge.node().configurationStore().configuration().version() >= version) {
                    slowestMs = Math.max(slowestMs, spentMs);
                    world.judge.check(
                            Rule.POLICY,
                            spentMs / (double) Rule.POLICY.nearMs,
                            edge.name + " had " + id + " after " + spentMs + " ms");
                } else {
                    left.add(edge);
                }
            }
            if (!left.isEmpty() && spentMs <= IN_FORCE_MS) {
                world.sim.after(10, () -> arrives(version, atMs, left));
            }
        }

        /** When the bound is over, every edge that was left alone has it, and none that serves lacks it. */
        private void inForce(final long version, final long atMs) {
            world.sim.after(IN_FORCE_MS, () -> {
                for (final SimulatedNode edge : world.edges()) {
                    if (edge.running()) {
                        final boolean has =
                                edge.node().configurationStore().configuration().version() >= version;
                        final boolean serves = edge.node().feedClient().isFresh();
                        final boolean alone = world.undisturbed(edge, atMs);
                        world.judge.check(
                                Rule.POLICY,
                                !has && (serves || alone) ? 2 : 0,
                                edge.name + " lacks " + version + " of " + id + " after " + IN_FORCE_MS + " ms, serves "
                                        + serves);
                    }
                }
            });
        }
    }

    /** At the end: each accepted route is in force on every fresh node, and no denied one on any. */
    void end(final boolean wiped) {
        for (final SimulatedNode node : world.nodes.values()) {
            if (!node.running() || !node.node().feedClient().isFresh()) {
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
                    world.judge.check(Rule.POLICY, routes.has(id) || wiped ? 0 : 2, node.name + " lost " + id);
                }
            }
            for (final String id : List.copyOf(rejected)) {
                world.judge.check(Rule.POLICY, routes.has(id) ? 2 : 0, node.name + " has denied " + id);
            }
        }
    }
}
