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

/** spokestall's own speech with a platform; docs/protocols.md has it. */
final class NativePlatformProtocol implements PlatformProtocol {
    @Override
    public String listTarget() {
        return "/upstreams";
    }

    @Override
    public Page page(final JsonNode tree) {
        if (!tree.path("upstreams").isArray()) {
            return null;
        }
        final List<ListedEndpoint> found = new ArrayList<>();
        for (final JsonNode u : tree.path("upstreams")) {
            final String address = u.path("address").asText();
            if (address.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")
                    && !u.path("instance").asText().isEmpty()) {
                found.add(new ListedEndpoint(
                        u.path("instance").asText(),
                        u.path("service").asText(),
                        address,
                        u.path("district").asText(),
                        u.path("region").asText(),
                        u.path("leaving").asBoolean(false),
                        u.path("coldForMs").asLong(-1),
                        u.path("slots").asInt(0)));
            }
        }
        return new Page(found, null);
    }

    @Override
    public Report report(final String holder, final long token, final SealedWindow sealed) {
        final ObjectNode out = ConfigurationStore.JSON.createObjectNode().put("window", sealed.window());
        final ObjectNode counts = out.putObject("counts");
        sealed.counts().forEach(counts::put);
        return new Report(
                "/usage",
                List.of(
                        new Header("Spokestall-Duty-Holder", holder),
                        new Header("Spokestall-Fence-Token", Long.toString(token)),
                        new Header("Content-Type", "application/json")),
                out.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String statusTarget() {
        return "/spokestall/status";
    }

    @Override
    public ProbeResult status(final JsonNode tree) {
        return !tree.has("instance")
                ? null
                : new ProbeResult(
                        tree.path("instance").asText(),
                        tree.path("service").asText(),
                        tree.path("leaving").asBoolean(false),
                        tree.path("readyForMs").asLong(0));
    }
}
