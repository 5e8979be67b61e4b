package spokestall.testbed.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spokestall.proxy.AdmissionResult;
import spokestall.proxy.AdmittedRequest;
import spokestall.proxy.ExecutionStatus;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;
import spokestall.testbed.Deployment;
import spokestall.testbed.verdict.Rule;

/** Clients that ask where to go, then ask, ask again when they may, and keep what they were told. */
final class SimulatedClients {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long SPAN_MS = 5000;

    private record Place(List<SimulatedNode> edges, String ticket, long untilMs) {}

    private final SimulatedWorld world;
    private final Random random;
    private final List<Deployment.RequestKind> kinds = new ArrayList<>();
    private final Map<String, Place> places = new HashMap<>();
    private final Map<String, String> named = new HashMap<>();
    private int made;
    private boolean asking;
    private final int clients;
    private double rate;

    SimulatedClients(final SimulatedWorld world) {
        this.world = world;
        this.random = world.sim.random("callers");
        this.rate = world.deployment.ratePerS;
        this.clients = 20 + random.nextInt(400);
        for (final Deployment.RequestKind k : world.deployment.requestKinds()) {
            for (int i = 0; i < k.weight(); i++) {
                kinds.add(k);
            }
        }
    }

    void start() {
        asking = true;
        next();
    }

    void stop() {
        asking = false;
    }

    void rate(final double perS) {
        rate = perS;
    }

    private void next() {
        if (!asking) {
            return;
        }
        world.sim.after((long) Math.max(1, -Math.log(1 - random.nextDouble()) * 1000 / rate), () -> {
            final Deployment.RequestKind kind = world.any(kinds, random);
            ask(kind, "client-" + random.nextInt(clients), "a" + made++, 0, world.sim.nowMs());
            next();
        });
    }

    private void ask(
            final Deployment.RequestKind kind, final String who, final String id, final int turn, final long begunMs) {
        final String place = who + "/" + kind.key();
        final Place known = places.get(place);
        // One client in ten is connected to an edge and stays with it, whatever where would say by now.
        final boolean stays = who.endsWith("7") && turn == 0;
        if (known != null && (stays || world.sim.nowMs() < known.untilMs)) {
            send(kind, who, id, turn, begunMs, known);
            return;
        }
        final List<SimulatedNode> up =
                world.nodes.values().stream().filter(SimulatedNode::running).toList();
        if (up.isEmpty()) {
            return;
        }
        final SimulatedNode node = world.any(up, random);
        final boolean[] back = {false};
        world.sim.after(1000, () -> {
            if (!back[0]) {
                back[0] = true;
                again(kind, who, id, turn, begunMs, 50);
            }
        });
        world.call(node, "where", JSON.createObjectNode().put("client", who).put("key", kind.key()), reply -> {
            if (back[0]) {
                return;
            }
            back[0] = true;
            final JsonNode r = reply.fields();
            if (reply.result().number() != 1000) {
                again(kind, who, id, turn, begunMs, 300);
                return;
            }
            final List<SimulatedNode> edges = new ArrayList<>();
            r.path("edges")
                    .forEach(e -> edges.add(world.nodes.get(e.path("name").asText())));
            final Place found = new Place(
                    edges,
                    r.path("ticket").asText(),
                    world.sim.nowMs() + r.path("forMs").asLong());
            if (!who.endsWith("7") || !places.containsKey(place)) {
                places.put(place, found);
            }
            send(kind, who, id, turn, begunMs, found);
        });
    }

    /** The same for each repeat; most are small, some are long. */
    private static byte[] body(final String id) {
        final int long1 = id.hashCode() % 16 == 0 ? 20_000 : 0;
        return ("do " + id + " ".repeat(Math.floorMod(id.hashCode(), 200) + long1)).getBytes(StandardCharsets.UTF_8);
    }

    private void again(
            final Deployment.RequestKind kind,
            final String who,
            final String id,
            final int turn,
            final long begunMs,
            final long waitMs) {
        if (turn < 6 && world.sim.nowMs() + waitMs - begunMs < SPAN_MS) {
            world.sim.after(waitMs, () -> ask(kind, who, id, turn + 1, begunMs));
        }
    }

    private void send(
            final Deployment.RequestKind kind,
            final String who,
            final String id,
            final int turn,
            final long begunMs,
            final Place place) {
        final String requestId =
                kind.runOnce() ? named.computeIfAbsent(id, i -> place.ticket + "." + i) : id + "." + turn;
        final SimulatedWorld.Asked asked =
                world.asked.computeIfAbsent(requestId, i -> new SimulatedWorld.Asked(requestId, kind));
        asked.sentMs.add(world.sim.nowMs());
        final SimulatedNode edge = place.edges.get(turn % place.edges.size());
        final byte[] body = kind.runOnce() ? body(id) : new byte[0];
        final long spanMs = SPAN_MS - (world.sim.nowMs() - begunMs);
        final RequestHead head = new RequestHead(
                kind.runOnce() ? "POST" : "GET",
                "",
                kind.path(),
                kind.key(),
                requestId,
                spanMs,
                body.length,
                List.of());
        final boolean[] back = {false};
        final Runnable nothing = () -> {
            if (!back[0]) {
                back[0] = true;
                if (!who.endsWith("7") || turn > 0) {
                    places.remove(who + "/" + kind.key());
                }
                again(kind, who, id, turn, begunMs, 50);
            }
        };
        world.sim.after(Math.min(spanMs, 2500), nothing);
        world.sim.after(1 + random.nextInt(20), () -> {
            if (!edge.up()) {
                nothing.run();
                return;
            }
            final long incarnation = edge.incarnation();
            edge.run(
                    incarnation,
                    () -> take(edge, incarnation, head, body, answer -> {
                        if (!back[0]) {
                            back[0] = true;
                            told(kind, who, id, asked, turn, begunMs, answer);
                        }
                    }));
        });
    }

    private void take(
            final SimulatedNode edge,
            final long incarnation,
            final RequestHead head,
            final byte[] body,
            final java.util.function.Consumer<Response> done) {
        final AdmittedRequest[] mine = {null};
        final AdmissionResult opened = edge.node()
                .admissionController()
                .admit(
                        head,
                        answer -> world.sim.after(1 + random.nextInt(20), () -> {
                            done.accept(answer);
                            edge.run(incarnation, () -> mine[0].onResponseWritten());
                        }));
        if (opened instanceof AdmissionResult.Rejected rejected) {
            world.sim.after(1 + random.nextInt(20), () -> done.accept(rejected.response()));
            return;
        }
        world.judge.check(
                Rule.HOME,
                world.home(world.asked.get(head.requestId()).kind.tenant()).contains(edge.region) ? 0 : 2,
                "body of " + head.requestId() + " carried to " + edge.region);
        // The body comes a little later than the head.
        mine[0] = ((AdmissionResult.Admitted) opened).request();
        world.asked.get(head.requestId()).admittedMs = world.sim.nowMs();
        world.asked.get(head.requestId()).spanMs = head.remainingMs();
        world.sim.after(1 + random.nextInt(5), () -> edge.run(incarnation, () -> mine[0].onBody(body)));
    }

    private void told(
            final Deployment.RequestKind kind,
            final String who,
            final String id,
            final SimulatedWorld.Asked asked,
            final int turn,
            final long begunMs,
            final Response answer) {
        world.told.add(new SimulatedWorld.Told(
                asked.requestId,
                answer.result().number(),
                answer.executionStatus(),
                answer.instance(),
                answer.content(),
                world.sim.nowMs()));
        asked.ran |= answer.executionStatus() == ExecutionStatus.RAN;
        asked.answeredMs = answer.executionStatus() == ExecutionStatus.RAN && asked.answeredMs < 0
                ? world.sim.nowMs()
                : asked.answeredMs;
        if (answer.executionStatus() != ExecutionStatus.RAN) {
            if (!who.endsWith("7") || turn > 0) {
                places.remove(who + "/" + kind.key());
            }
            // A run-once ask is repeated too: the claim must keep it from running twice.
            again(kind, who, id, turn, begunMs, Math.max(100, answer.retryAfterMs()));
        } else if (kind.runOnce() && turn == 0 && random.nextInt(10) == 0) {
            // A person who saw no answer, or doubts it, sends the same order again, at once or much later.
            world.sim.after(
                    random.nextBoolean() ? 100 : 3000 + random.nextInt(15_000),
                    () -> ask(kind, who, id, 1, world.sim.nowMs()));
        }
    }
}
