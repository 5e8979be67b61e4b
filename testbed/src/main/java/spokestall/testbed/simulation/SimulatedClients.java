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

/**
 * Simulated clients. They look up their edges with {@code where}, keep the result until it expires, send requests to these edges,
 * and retry requests that did not run.
 */
final class SimulatedClients {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DEADLINE_MS = 5000;

    private record EdgeAssignment(List<SimulatedNode> edges, String ticket, long expiresMs) {}

    private final SimulatedWorld world;
    private final Random random;
    private final List<Deployment.RequestKind> kinds = new ArrayList<>();
    private final Map<String, EdgeAssignment> assignments = new HashMap<>();
    private final Map<String, String> runOnceIds = new HashMap<>();
    private int requestsMade;
    private boolean running;
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
        running = true;
        scheduleNext();
    }

    void stop() {
        running = false;
    }

    void rate(final double perS) {
        rate = perS;
    }

    private void scheduleNext() {
        if (!running) {
            return;
        }
        world.sim.after((long) Math.max(1, -Math.log(1 - random.nextDouble()) * 1000 / rate), () -> {
            final Deployment.RequestKind kind = world.pick(kinds, random);
            request(kind, "client-" + random.nextInt(clients), "a" + requestsMade++, 0, world.sim.nowMs());
            scheduleNext();
        });
    }

    private void request(
            final Deployment.RequestKind kind,
            final String client,
            final String id,
            final int attempt,
            final long startedMs) {
        final String assignmentKey = client + "/" + kind.key();
        final EdgeAssignment known = assignments.get(assignmentKey);
        // One client in ten keeps its connection to an edge, even after its lookup result has expired.
        final boolean stays = client.endsWith("7") && attempt == 0;
        if (known != null && (stays || world.sim.nowMs() < known.expiresMs)) {
            send(kind, client, id, attempt, startedMs, known);
            return;
        }
        final List<SimulatedNode> up =
                world.nodes.values().stream().filter(SimulatedNode::isRunning).toList();
        if (up.isEmpty()) {
            return;
        }
        final SimulatedNode node = world.pick(up, random);
        final boolean[] settled = {false};
        world.sim.after(1000, () -> {
            if (!settled[0]) {
                settled[0] = true;
                retryLater(kind, client, id, attempt, startedMs, 50);
            }
        });
        world.call(node, "where", JSON.createObjectNode().put("client", client).put("key", kind.key()), reply -> {
            if (settled[0]) {
                return;
            }
            settled[0] = true;
            final JsonNode r = reply.fields();
            if (reply.result().number() != 1000) {
                retryLater(kind, client, id, attempt, startedMs, 300);
                return;
            }
            final List<SimulatedNode> edges = new ArrayList<>();
            r.path("edges")
                    .forEach(e -> edges.add(world.nodes.get(e.path("name").asText())));
            final EdgeAssignment found = new EdgeAssignment(
                    edges,
                    r.path("ticket").asText(),
                    world.sim.nowMs() + r.path("forMs").asLong());
            if (!client.endsWith("7") || !assignments.containsKey(assignmentKey)) {
                assignments.put(assignmentKey, found);
            }
            send(kind, client, id, attempt, startedMs, found);
        });
    }

    /** Returns the request body, which is the same for each retry. One body in 16 is longer than 20 kB, the others are small. */
    private static byte[] body(final String id) {
        final int extraSpaces = id.hashCode() % 16 == 0 ? 20_000 : 0;
        return ("do " + id + " ".repeat(Math.floorMod(id.hashCode(), 200) + extraSpaces))
                .getBytes(StandardCharsets.UTF_8);
    }

    private void retryLater(
            final Deployment.RequestKind kind,
            final String client,
            final String id,
            final int attempt,
            final long startedMs,
            final long waitMs) {
        if (attempt < 6 && world.sim.nowMs() + waitMs - startedMs < DEADLINE_MS) {
            world.sim.after(waitMs, () -> request(kind, client, id, attempt + 1, startedMs));
        }
    }

    private void send(
            final Deployment.RequestKind kind,
            final String client,
            final String id,
            final int attempt,
            final long startedMs,
            final EdgeAssignment assignment) {
        final String requestId =
                kind.runOnce() ? runOnceIds.computeIfAbsent(id, i -> assignment.ticket + "." + i) : id + "." + attempt;
        final SimulatedWorld.ClientRequest clientRequest =
                world.requests.computeIfAbsent(requestId, i -> new SimulatedWorld.ClientRequest(requestId, kind));
        clientRequest.sentMs.add(world.sim.nowMs());
        final SimulatedNode edge = assignment.edges.get(attempt % assignment.edges.size());
        final byte[] body = kind.runOnce() ? body(id) : new byte[0];
        final long remainingMs = DEADLINE_MS - (world.sim.nowMs() - startedMs);
        final RequestHead head = new RequestHead(
                kind.runOnce() ? "POST" : "GET",
                "",
                kind.path(),
                kind.key(),
                requestId,
                remainingMs,
                body.length,
                List.of());
        final boolean[] settled = {false};
        final Runnable onNoResponse = () -> {
            if (!settled[0]) {
                settled[0] = true;
                if (!client.endsWith("7") || attempt > 0) {
                    assignments.remove(client + "/" + kind.key());
                }
                retryLater(kind, client, id, attempt, startedMs, 50);
            }
        };
        world.sim.after(Math.min(remainingMs, 2500), onNoResponse);
        world.sim.after(1 + random.nextInt(20), () -> {
            if (!edge.isUp()) {
                onNoResponse.run();
                return;
            }
            final long incarnation = edge.incarnation();
            edge.run(
                    incarnation,
                    () -> admit(edge, incarnation, head, body, answer -> {
                        if (!settled[0]) {
                            settled[0] = true;
                            onResponse(kind, client, id, clientRequest, attempt, startedMs, answer);
                        }
                    }));
        });
    }

    private void admit(
            final SimulatedNode edge,
            final long incarnation,
            final RequestHead head,
            final byte[] body,
            final java.util.function.Consumer<Response> done) {
        final AdmittedRequest[] admitted = {null};
        final AdmissionResult admission = edge.node()
                .admissionController()
                .admit(
                        head,
                        answer -> world.sim.after(1 + random.nextInt(20), () -> {
                            done.accept(answer);
                            edge.run(incarnation, () -> admitted[0].onResponseWritten());
                        }));
        if (admission instanceof AdmissionResult.Rejected rejected) {
            world.sim.after(1 + random.nextInt(20), () -> done.accept(rejected.response()));
            return;
        }
        world.judge.check(
                Rule.HOME,
                world.homeRegions(world.requests.get(head.requestId()).kind.tenant())
                                .contains(edge.region)
                        ? 0
                        : 2,
                "body of " + head.requestId() + " carried to " + edge.region);
        // The body arrives a few milliseconds after the head.
        admitted[0] = ((AdmissionResult.Admitted) admission).request();
        world.requests.get(head.requestId()).admittedMs = world.sim.nowMs();
        world.requests.get(head.requestId()).remainingMs = head.remainingMs();
        world.sim.after(1 + random.nextInt(5), () -> edge.run(incarnation, () -> admitted[0].onBody(body)));
    }

    private void onResponse(
            final Deployment.RequestKind kind,
            final String client,
            final String id,
            final SimulatedWorld.ClientRequest clientRequest,
            final int attempt,
            final long startedMs,
            final Response answer) {
        world.responses.add(new SimulatedWorld.Told(
                clientRequest.requestId,
                answer.result().number(),
                answer.executionStatus(),
                answer.instance(),
                answer.content(),
                world.sim.nowMs()));
        clientRequest.ran |= answer.executionStatus() == ExecutionStatus.RAN;
        clientRequest.answeredMs = answer.executionStatus() == ExecutionStatus.RAN && clientRequest.answeredMs < 0
                ? world.sim.nowMs()
                : clientRequest.answeredMs;
        if (answer.executionStatus() != ExecutionStatus.RAN) {
            if (!client.endsWith("7") || attempt > 0) {
                assignments.remove(client + "/" + kind.key());
            }
            // Run-once requests are retried too: the claim must keep them from running twice.
            retryLater(kind, client, id, attempt, startedMs, Math.max(100, answer.retryAfterMs()));
        } else if (kind.runOnce() && attempt == 0 && random.nextInt(10) == 0) {
            // A client that saw no response, or doubts it, sends the same request again, shortly afterwards or much
            // later.
            world.sim.after(
                    random.nextBoolean() ? 100 : 3000 + random.nextInt(15_000),
                    () -> request(kind, client, id, 1, world.sim.nowMs()));
        }
    }
}
