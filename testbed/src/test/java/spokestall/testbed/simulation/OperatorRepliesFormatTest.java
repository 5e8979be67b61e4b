package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.OperatorFleet;

/** Format of a whole fleet's replies to operators and clients: each field's name and type, compared with literals. */
class OperatorRepliesFormatTest {
    private static final ObjectNode NOTHING = OperatorFleet.JSON.createObjectNode();
    private OperatorFleet fleet;
    private SimulatedNode core;
    private SimulatedNode edge;

    @BeforeEach
    void begin() {
        fleet = new OperatorFleet(1, Deployment.PADMA).start();
        core = fleet.world.cores().get(0);
        edge = fleet.nodes().stream().filter(node -> !node.core).findFirst().orElseThrow();
        fleet.run(30_000);
    }

    private static List<String> golden(final String name) throws Exception {
        try (InputStream in = OperatorRepliesFormatTest.class.getResourceAsStream("/golden/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    private JsonNode reply(final SimulatedNode to, final String method, final JsonNode params) {
        return fleet.callAndWait(to, method, params).reply.json();
    }

    private List<String> fields(final SimulatedNode to, final String method, final JsonNode params) {
        final Collection<String> found = new TreeSet<>();
        describe("", reply(to, method, params), found);
        return new ArrayList<>(found);
    }

    /** Adds a line for each field with its type. Fields named after a node or a zone, and list items, are shown as a star. */
    private void describe(final String at, final JsonNode json, final Collection<String> found) {
        if (json.isContainerNode()) {
            found.add(at + (json.isObject() ? " object" : " list"));
        }
        if (json.isObject()) {
            json.fields()
                    .forEachRemaining(field -> describe(at + "/" + general(field.getKey()), field.getValue(), found));
        } else if (json.isArray()) {
            json.forEach(item -> describe(at + "/*", item, found));
        } else {
            found.add(at + (json.isTextual() ? " text" : json.isNumber() ? " number" : " boolean"));
        }
    }

    private String general(final String field) {
        return fleet.world.nodes.containsKey(field) || field.matches("d\\d+") ? "*" : field;
    }

    @Test
    void whereReturnsEdgesValidityAndTicket() throws Exception {
        final ObjectNode params = OperatorFleet.JSON.createObjectNode();
        params.put("client", "client-7").put("key", Deployment.key(0));
        assertThat(fields(core, "where", params)).isEqualTo(golden("where-fields.txt"));
        final JsonNode result = reply(edge, "where", params).path("result");
        assertThat(result.path("ticket").asText()).matches("t1-\\d+-\\d+");
    }

    @Test
    void policyGetReturnsVersionAgeAndConfiguration() {
        final JsonNode reply = reply(edge, "policy.get", NOTHING);
        final List<String> names = new ArrayList<>();
        reply.path("result").fieldNames().forEachRemaining(names::add);
        assertThat(names).containsExactly("version", "ageMs", "policy");
        assertThat(reply.at("/result/policy")).isEqualTo(fleet.world.configuration());
    }

    @Test
    void coreStatusHasTheExpectedFields() throws Exception {
        final ObjectNode hold = OperatorFleet.JSON.createObjectNode();
        hold.put("base", OperatorFleet.version(core)).put("changeId", "hold-1");
        hold.put("district", "d1").put("reason", "new cables");
        assertThat(reply(core, "hold.set", hold).path("code").asInt()).isEqualTo(1000);
        assertThat(fields(core, "status", NOTHING)).isEqualTo(golden("core-status-fields.txt"));
        final JsonNode result = reply(core, "status", NOTHING).path("result");
        assertThat(result.path("role").asText()).isEqualTo("core");
        assertThat(result.path("voter").asText()).isEqualTo("VOTING");
        assertThat(result.path("ring").asText()).isEqualTo("OPEN");
        assertThat(result.at("/holds/d1/reason").asText()).isEqualTo("new cables");
    }

    @Test
    void edgeStatusHasTheExpectedFields() throws Exception {
        assertThat(fields(edge, "status", NOTHING)).isEqualTo(golden("edge-status-fields.txt"));
        assertThat(reply(edge, "status", NOTHING).at("/result/role").asText()).isEqualTo("edge");
    }

    @Test
    void upstreamsReturnsEachStatus() throws Exception {
        assertThat(fields(core, "upstreams", NOTHING)).isEqualTo(golden("upstreams-fields.txt"));
        assertThat(reply(core, "upstreams", NOTHING)
                        .at("/result/upstreams/0/status")
                        .asText())
                .isEqualTo("READY");
    }

    @Test
    void changeRepliesCarryVersionsAndChangeIds() {
        final long base = OperatorFleet.version(core);
        final ObjectNode order = fleet.addRouteParams(base, "change-1", "more");
        final String accepted = "{\"code\":1000,\"text\":\"done\",\"result\":{\"version\":" + (base + 1)
                + ",\"changeId\":\"change-1\"}}";
        assertThat(reply(core, "policy.patch", order).toString()).isEqualTo(accepted);
        assertThat(reply(core, "policy.patch", order).toString())
                .as("sent again")
                .isEqualTo(accepted);
        assertThat(reply(core, "policy.patch", fleet.addRouteParams(base, "change-2", "stale"))
                        .toString())
                .isEqualTo(
                        "{\"code\":4001,\"text\":\"the base version is not the current one\",\"result\":{\"current\":"
                                + (base + 1) + ",\"changeId\":\"change-2\"}}");
        final ObjectNode hold = OperatorFleet.JSON.createObjectNode();
        hold.put("base", base + 1).put("changeId", "change-3").put("district", "nowhere");
        assertThat(reply(core, "hold.set", hold).toString())
                .isEqualTo("{\"code\":4002,\"text\":\"the policy is invalid\",\"result\":{\"current\":" + (base + 1)
                        + ",\"changeId\":\"change-3\",\"troubles\":[{\"pointer\":\"/holds/nowhere\","
                        + "\"reason\":\"unknown district\"}]}}");
        assertThat(reply(core, "key.withdraw", OperatorFleet.keyParams(base + 1, "change-4", 0, "none"))
                        .path("code")
                        .asInt())
                .isEqualTo(4007);
    }

    @Test
    void usageGetReturnsTheCountsOfASealedWindow() throws Exception {
        final long last =
                reply(core, "status", NOTHING).at("/result/duty/lastSealed").asLong();
        final ObjectNode params = OperatorFleet.JSON.createObjectNode().put("window", last);
        assertThat(fields(core, "usage.get", params)).isEqualTo(golden("usage-fields.txt"));
        params.put("window", 1);
        assertThat(reply(core, "usage.get", params).toString())
                .isEqualTo("{\"code\":4007,\"text\":\"there is no such thing\",\"result\":{}}");
    }
}
