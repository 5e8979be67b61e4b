package spokestall.api;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;
import spokestall.discovery.HealthStatus;
import spokestall.lease.LeaseManager;
import spokestall.proxy.ExecutionStatus;
import spokestall.proxy.RequestTicket;
import spokestall.storage.SegmentedLog;
import spokestall.testsupport.GoldenFile;

/** Guards the wire format of the API calls: the names and parameters of calls, and the names and texts in replies. */
class RepliesFormatTest {
    private static String reply(final String method, final String params) {
        final List<String> replies = new ArrayList<>();
        new CallRegistry()
                .call(
                        method,
                        GoldenFile.parsed(params),
                        reply -> replies.add(reply.json().toString()));
        assertThat(replies).hasSize(1);
        return replies.get(0);
    }

    private static String signature(final String name, final JsonNode params) {
        final List<String> required = new ArrayList<>();
        params.path("required").forEach(each -> required.add(each.asText()));
        final StringBuilder line = new StringBuilder(name);
        params.path("properties")
                .fieldNames()
                .forEachRemaining(param -> line.append(' ').append(param).append(required.contains(param) ? "*" : ""));
        return line.toString();
    }

    @Test
    void resultCodesAreStable() {
        final List<String> lines = Stream.of(ResultCode.values())
                .map(result -> result.number() + " " + result.httpStatus() + " " + result.name() + " " + result.text())
                .toList();
        assertThat(lines).isEqualTo(GoldenFile.lines("results.txt"));
    }

    @Test
    void callNamesAndParametersAreStable() {
        final List<String> signatures = new ArrayList<>();
        new CallRegistry()
                .schema()
                .path("methods")
                .fields()
                .forEachRemaining(method -> signatures.add(
                        signature(method.getKey(), method.getValue().path("params"))));
        assertThat(signatures).isEqualTo(GoldenFile.lines("calls.txt"));
    }

    @Test
    void schemaFileDeclaresItsDialect() {
        final JsonNode file = new CallRegistry().schema();
        final List<String> topLevelFields = new ArrayList<>();
        file.fieldNames().forEachRemaining(topLevelFields::add);
        assertThat(topLevelFields).containsExactly("$schema", "title", "methods", "$defs");
        assertThat(file.path("$schema").asText()).isEqualTo("https://json-schema.org/draft/2020-12/schema");
        assertThat(file.at("/$defs/policy/$schema").asText()).isEqualTo("https://json-schema.org/draft/2020-12/schema");
    }

    @Test
    void repliesHaveCodeTextAndResult() {
        assertThat(Reply.of(ResultCode.OK, GoldenFile.parsed("{\"version\":18}"))
                        .json()
                        .toString())
                .isEqualTo("{\"code\":1000,\"text\":\"done\",\"result\":{\"version\":18}}");
        assertThat(reply("policy.burn", "{}")).isEqualTo("{\"code\":4004,\"text\":\"no such method\",\"result\":{}}");
    }

    @Test
    void invalidParametersAreReportedWithTheirLocation() {
        final List<String> replies = new ArrayList<>();
        final CallRegistry calls = new CallRegistry();
        calls.register("usage.get", (params, done) -> done.accept(Reply.of(ResultCode.OK, null)));
        calls.call(
                "usage.get",
                GoldenFile.parsed("{\"window\":-1}"),
                each -> replies.add(each.json().toString()));
        assertThat(replies)
                .containsExactly("{\"code\":4005,\"text\":\"the parameters don't fit the schema\","
                        + "\"result\":{\"troubles\":[{\"pointer\":\"$.window\","
                        + "\"reason\":\"$.window: must have a minimum value of 0\"}]}}");
        assertThat(reply("usage.get", "{}"))
                .as("a call without a handler on this node")
                .isEqualTo("{\"code\":4006,\"text\":\"this node can't do that now\",\"result\":{}}");
    }

    @Test
    void stateNamesInRepliesAreStable() {
        assertThat(Stream.of(HealthStatus.values()).map(HealthStatus::name))
                .containsExactly("READY", "LEAVING", "DOWN", "FOREIGN");
        assertThat(Stream.of(Acceptor.State.values()).map(Acceptor.State::name))
                .containsExactly("BLANK", "CATCHING_UP", "VOTING", "RESIGNED", "STOPPED");
        assertThat(Stream.of(SegmentedLog.State.values()).map(SegmentedLog.State::name))
                .containsExactly("OPEN", "FULL", "REFUSING", "BROKEN");
        assertThat(Stream.of(LeaseManager.State.values()).map(LeaseManager.State::name))
                .containsExactly("WATCHING", "ACQUIRING", "HOLDING", "RELEASING", "STOPPED");
        assertThat(Stream.of(ExecutionStatus.values()).map(ExecutionStatus::wireName))
                .containsExactly("ran", "not-run", "undecided");
    }

    @Test
    void ticketsRoundTripAsText() {
        assertThat(new RequestTicket(17, 1000).text()).isEqualTo("t1-17-1000");
        assertThat(RequestTicket.of("t1-17-1000.pay-4")).isEqualTo(new RequestTicket(17, 1000));
    }
}
