package spokestall.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.KeyHash;
import spokestall.configuration.Tenant;
import spokestall.configuration.change.ChangeDraft;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Voter;
import spokestall.discovery.Endpoint;
import spokestall.discovery.HealthObservation;
import spokestall.gossip.NodeInfo;
import spokestall.message.MessageCodec;
import spokestall.proxy.EdgeSelector;
import spokestall.proxy.RequestTicket;
import spokestall.usage.SealedWindow;

/** The calls of operators and of {@code where}, each read and answered at one node. */
final class OperatorCallHandler {
    private final Node node;

    OperatorCallHandler(final Node node) {
        this.node = node;
    }

    /** Puts every call of the schema file that this node carries out on its desk. */
    void open() {
        node.calls.on("where", this::where);
        node.calls.on("policy.get", (p, done) -> configurationGet(done));
        node.calls.on("status", (p, done) -> done.accept(Reply.of(ResultCode.OK, status())));
        node.calls.on("upstreams", (p, done) -> done.accept(Reply.of(ResultCode.OK, upstreams())));
        node.calls.on("usage.get", this::usageGet);
        if (node.context.core) {
            node.calls.on(
                    "policy.put", (p, done) -> take(p, write(ConfigurationChange.Kind.PUT, p.get("policy")), done));
            node.calls.on(
                    "policy.patch", (p, done) -> take(p, write(ConfigurationChange.Kind.PATCH, p.get("patch")), done));
            node.calls.on(
                    "key.add",
                    (p, done) -> key(
                            p,
                            ConfigurationStore.JSON
                                    .createObjectNode()
                                    .put("sha256", KeyHash.of(p.get("key").asText())),
                            done));
            node.calls.on("key.withdraw", (p, done) -> key(p, ConfigurationStore.JSON.nullNode(), done));
            node.calls.on(
                    "hold.set",
                    (p, done) -> hold(
                            p,
                            ConfigurationStore.JSON
                                    .createObjectNode()
                                    .put("reason", p.path("reason").asText("")),
                            done));
            node.calls.on("audit.get", (p, done) -> {
                final ObjectNode newest = node.audit.newest(p.path("most").asInt(50));
                done.accept(newest == null ? Reply.of(ResultCode.NOT_FOUND, null) : Reply.of(ResultCode.OK, newest));
            });
            node.calls.on("hold.clear", (p, done) -> hold(p, ConfigurationStore.JSON.nullNode(), done));
        }
    }

    /** The configuration, proved newest after the call came. */
    private void configurationGet(final Consumer<Reply> done) {
        node.acceptance.newest(node.context.settings().integer("policyBoundMs"), configuration -> {
            if (configuration == null) {
                done.accept(Reply.of(ResultCode.NOT_READY, null));
                return;
            }
            final ObjectNode out = ConfigurationStore.JSON.createObjectNode().put("version", configuration.version());
            out.put("ageMs", node.follower.ageMs()).set("policy", configuration.tree());
            done.accept(Reply.of(ResultCode.OK, out));
        });
    }

    private void take(final JsonNode p, final ChangeDraft draft, final Consumer<Reply> done) {
        node.acceptance.take(p.get("base").asLong(), p.get("changeId").asText(), draft, done);
    }

    private static ChangeDraft write(final ConfigurationChange.Kind kind, final JsonNode json) {
        return tree -> new ChangeDraft.Drafted.Write(kind, json);
    }

    private void key(final JsonNode p, final JsonNode value, final Consumer<Reply> done) {
        final String cell = p.get("cell").asText();
        final String tenant = p.get("tenant").asText();
        final String keyId = p.get("keyId").asText();
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        patch.putObject("cells")
                .putObject(cell)
                .putObject("tenants")
                .putObject(tenant)
                .putObject("keys")
                .set(keyId, value);
        final ChangeDraft draft = tree -> {
            final JsonNode of = tree.path("cells").path(cell).path("tenants").path(tenant);
            final boolean missing =
                    of.isMissingNode() || value.isNull() && !of.path("keys").has(keyId);
            return missing
                    ? new ChangeDraft.Drafted.Missing()
                    : new ChangeDraft.Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
        };
        take(p, draft, done);
    }

    private void hold(final JsonNode p, final JsonNode value, final Consumer<Reply> done) {
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        patch.putObject("holds").set(p.get("district").asText(), value);
        take(p, write(ConfigurationChange.Kind.PATCH, patch), done);
    }

    /** A fresh proof is enough to name edges; a key is called bad only by what is proved newest after the call came. */
    private void where(final JsonNode p, final Consumer<Reply> done) {
        if (!node.follower.fresh() || node.voterSet() == null) {
            done.accept(Reply.of(ResultCode.NOT_FRESH, null));
            return;
        }
        final String key = KeyHash.of(p.get("key").asText());
        final Tenant tenant = node.configurationStore.configuration().tenantOf(key);
        if (tenant != null) {
            where(p, tenant, done);
            return;
        }
        node.acceptance.newest(node.context.settings().integer("freshMs"), configuration -> {
            if (configuration == null) {
                done.accept(Reply.of(ResultCode.NOT_FRESH, null));
            } else if (configuration.tenantOf(key) == null) {
                done.accept(Reply.of(ResultCode.BAD_KEY, null));
            } else {
                where(p, configuration.tenantOf(key), done);
            }
        });
    }

    private void where(final JsonNode p, final Tenant tenant, final Consumer<Reply> done) {
        final List<NodeInfo> found = EdgeSelector.elect(
                p.get("client").asText(),
                node.knownEdges.forClients(),
                tenant.homeRegions(),
                node.configurationStore.configuration().holds(),
                2);
        if (found.isEmpty()) {
            done.accept(Reply.of(ResultCode.NO_UPSTREAM, null));
            return;
        }
        final ObjectNode out = ConfigurationStore.JSON.createObjectNode();
        final ArrayNode list = out.putArray("edges");
        found.forEach(m -> list.addObject()
                .put("name", m.name())
                .put("address", m.httpAddress())
                .put("region", m.region()));
        out.put("forMs", node.context.settings().fractionOf("leaveBoundMs", 0.4));
        out.put("ticket", new RequestTicket(node.voterSet().generation(), node.context.fleet.nowMs()).text());
        done.accept(Reply.of(ResultCode.OK, out));
    }

    private void usageGet(final JsonNode p, final Consumer<Reply> done) {
        node.proposer.read(
                SealedWindow.key(p.get("window").asLong()),
                node.context.settings().integer("policyBoundMs"),
                outcome -> {
                    if (outcome instanceof ProposalOutcome.Done d && d.value() != null) {
                        final SealedWindow sealed = MessageCodec.decodeRecord(d.value(), SealedWindow.class);
                        final ObjectNode out = ConfigurationStore.JSON
                                .createObjectNode()
                                .put("window", sealed.window())
                                .put("completed", sealed.completed())
                                .put("token", sealed.token());
                        final ObjectNode counts = out.putObject("counts");
                        sealed.counts().forEach(counts::put);
                        done.accept(Reply.of(ResultCode.OK, out));
                    } else {
                        done.accept(Reply.of(
                                outcome instanceof ProposalOutcome.Done || outcome instanceof ProposalOutcome.Gone
                                        ? ResultCode.NOT_FOUND
                                        : ResultCode.NOT_READY,
                                null));
                    }
                });
    }

    /** Marks an answer as this node's own view: by which version, how old its proof is, and whether that still counts. */
    private void local(final ObjectNode out) {
        out.put("local", true)
                .put("version", node.configurationStore.configuration().version())
                .put("proofAgeMs", node.follower.ageMs())
                .put("fresh", node.follower.fresh());
    }

    private ObjectNode upstreams() {
        final ObjectNode out = ConfigurationStore.JSON.createObjectNode();
        local(out);
        final ArrayNode list = out.putArray("upstreams");
        for (final Endpoint l : node.discovery.endpointRegistry.listed()) {
            final HealthObservation word =
                    node.discovery.endpointRegistry.word(l.instance(), node.context.fleet.nowMs());
            list.addObject()
                    .put("instance", l.instance())
                    .put("service", l.service())
                    .put("address", l.address())
                    .put("district", l.zone())
                    .put("listed", l.present())
                    .put("leaving", l.leaving())
                    .put("status", word == null ? "UNKNOWN" : word.status().name());
        }
        return out;
    }

    private ObjectNode status() {
        final ObjectNode out = ConfigurationStore.JSON.createObjectNode();
        out.put("node", node.context.name)
                .put("role", node.context.core ? "core" : "edge")
                .put("fleetMs", node.context.fleet.nowMs());
        local(out);
        final ObjectNode nodes = out.putObject("nodes");
        for (final NodeInfo m : node.view.members()) {
            nodes.putObject(m.name())
                    .put("role", m.core() ? "core" : "edge")
                    .put("address", m.address())
                    .put("http", m.httpAddress())
                    .put("district", m.zone())
                    .put("leaving", m.leaving())
                    .put("heardMs", node.context.fleet.nowMs() - m.heardMs());
        }
        node.neighbours.differing().forEach(out.putArray("differing")::add);
        if (node.voterSet() != null) {
            final ObjectNode table = out.putObject("voters")
                    .put("generation", node.voterSet().generation())
                    .put("epoch", node.voterSet().epoch());
            for (final Voter s : node.voterSet().voters()) {
                final FeedClient.Observation back = node.follower.last().get(s.name());
                final boolean heard = back != null
                        && node.follower.heardMs(s.name())
                                < Math.max(
                                        node.context.settings().integer("leaveBoundMs"),
                                        node.context.settings().peerTimeoutMillis());
                table.putObject(s.name())
                        .put("state", !heard ? "unheard" : back.voting() ? "voting" : "blank")
                        .put("applied", heard ? back.applied() : 0);
            }
        }
        final ObjectNode holds = out.putObject("holds");
        for (final String zone : node.configurationStore.configuration().holds()) {
            final ObjectNode hold = holds.putObject(zone)
                    .put(
                            "reason",
                            node.configurationStore
                                    .configuration()
                                    .tree()
                                    .path("holds")
                                    .path(zone)
                                    .path("reason")
                                    .asText());
            if (node.context.core) {
                int open = 0;
                for (final FeedServer.Present p : node.feeds.edges().values()) {
                    open += p.member().zone().equals(zone) ? p.open() : 0;
                }
                hold.put("open", open).put("empty", open == 0);
            }
        }
        if (node.context.core) {
            out.put("voter", node.storage.acceptor.state().name())
                    .put("ring", node.storage.segmentedLog.state().name())
                    .put("ringFill", node.storage.segmentedLog.fill())
                    .put("registers", node.storage.acceptor.registers().size());
            final ObjectNode duty = out.putObject("duty")
                    .put("state", node.duty.leaseManager.state().name());
            if (node.duty.leaseManager.seen() != null) {
                duty.put("holder", node.duty.leaseManager.seen().holder())
                        .put("token", node.duty.leaseManager.seen().token());
            }
            final ObjectNode kept = out.putObject("hints");
            node.handoff.hints.sizes().forEach(kept::put);
            duty.put("lastSealed", node.duty.reporter.lastSealed()).put("missed", node.duty.reporter.missed());
            final ObjectNode present = out.putObject("edges");
            node.feeds
                    .edges()
                    .forEach((n, p) -> present.putObject(n)
                            .put("fresh", p.fresh())
                            .put("open", p.open())
                            .put("leaving", p.member().leaving())
                            .put("heardMs", node.context.clock.nowMs() - p.heardMs()));
        } else {
            out.put("open", node.edge().open()).put("heldBytes", node.edge().heldBytes());
            final ObjectNode told = out.putObject("told");
            node.edge().told().forEach((result, n) -> told.put(result.number() + " " + result.name(), n));
        }
        return out;
    }
}
