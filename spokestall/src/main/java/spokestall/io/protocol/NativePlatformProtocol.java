package spokestall.io.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import spokestall.configuration.ConfigurationStore;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.message.Header;
import spokestall.usage.SealedWindow;

/** spokestall's own protocol for a platform, specified in docs/protocols.md. */
final class NativePlatformProtocol implements PlatformProtocol {
    @Override
    public String listTarget() {
        return "/upstreams";
    }

    @Override
    public Page parsePage(final JsonNode tree) {
        if (!tree.path("upstreams").isArray()) {
            return null;
        }
        final List<ListedEndpoint> endpoints = new ArrayList<>();
        for (final JsonNode upstream : tree.path("upstreams")) {
            final String address = upstream.path("address").asText();
            if (address.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")
                    && !upstream.path("instance").asText().isEmpty()) {
                endpoints.add(new ListedEndpoint(
                        upstream.path("instance").asText(),
                        upstream.path("service").asText(),
                        address,
                        upstream.path("district").asText(),
                        upstream.path("region").asText(),
                        upstream.path("leaving").asBoolean(false),
                        upstream.path("coldForMs").asLong(-1),
                        upstream.path("slots").asInt(0)));
            }
        }
        return new Page(endpoints, null);
    }

    @Override
    public Report report(final String holder, final long token, final SealedWindow sealed) {
        final ObjectNode body = ConfigurationStore.JSON.createObjectNode().put("window", sealed.window());
        final ObjectNode counts = body.putObject("counts");
        sealed.counts().forEach(counts::put);
        return new Report(
                "/usage",
                List.of(
                        new Header("Spokestall-Duty-Holder", holder),
                        new Header("Spokestall-Fence-Token", Long.toString(token)),
                        new Header("Content-Type", "application/json")),
                body.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String linkCheckTarget() {
        return listTarget();
    }

    @Override
    public String statusTarget() {
        return "/spokestall/status";
    }

    @Override
    public ProbeResult parseStatus(final JsonNode tree) {
        return !tree.has("instance")
                ? null
                : new ProbeResult(
                        tree.path("instance").asText(),
                        tree.path("service").asText(),
                        tree.path("leaving").asBoolean(false),
                        tree.path("readyForMs").asLong(0));
    }
}
