package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.http.HttpResult;

/**
 * Lookup of the edges for a client's requests by the call {@code where}. Caches each response for as long as it allows.
 *
 * <p>Thread-safe.
 */
final class EdgeLookup {
    /** Edge addresses, best first, and a ticket; both are valid until a time in monotonic milliseconds. */
    record Edges(List<String> addresses, String ticket, long validUntilMs) {}

    private static final long TIMEOUT_MS = 1000;
    private static final int RESPONSE_MAX_BYTES = 16 << 20;
    private final CommandHttpClient client;
    private final List<String> nodes;
    private final Map<String, Edges> cache = new ConcurrentHashMap<>();

    /** Creates a lookup that calls the nodes with these addresses. */
    EdgeLookup(final CommandHttpClient client, final List<String> nodes) {
        this.client = client;
        this.nodes = nodes;
    }

    private static String cacheKey(final LoadRequest request) {
        return request.client() + "/" + request.kind().key();
    }

    /** Finds edges for a request, cached or from one node; {@code done} receives an empty result if the node returns none. */
    void find(final LoadRequest request, final Consumer<Optional<Edges>> done) {
        final Edges cached = cache.get(cacheKey(request));
        if (cached != null && MonotonicTime.nowMs() < cached.validUntilMs) {
            done.accept(Optional.of(cached));
            return;
        }
        // Selects a different node for each attempt, and spreads requests over the nodes.
        final String node =
                nodes.get(Math.floorMod(request.runUniqueId().hashCode() + request.attempt(), nodes.size()));
        final ObjectNode params = ConfigurationStore.JSON
                .createObjectNode()
                .put("client", request.client())
                .put("key", request.kind().key());
        client.callNode(node, "where", params.toString(), TIMEOUT_MS, RESPONSE_MAX_BYTES, result -> {
            final Optional<Edges> found = read(result);
            found.ifPresent(edges -> cache.put(cacheKey(request), edges));
            done.accept(found);
        });
    }

    /** Removes the cached edges of a request that they did not serve. */
    void invalidate(final LoadRequest request) {
        cache.remove(cacheKey(request));
    }

    private static Optional<Edges> read(final HttpResult result) {
        if (!(result instanceof HttpResult.Complete response) || response.status() != 200) {
            return Optional.empty();
        }
        try {
            final JsonNode fields =
                    ConfigurationStore.JSON.readTree(response.body()).path("result");
            final List<String> addresses = new ArrayList<>();
            fields.path("edges")
                    .forEach(edge -> addresses.add(edge.path("address").asText()));
            final long validMs = fields.path("forMs").asLong();
            return Optional.of(new Edges(addresses, fields.path("ticket").asText(), MonotonicTime.nowMs() + validMs));
        } catch (final IOException e) {
            // A response that is not JSON counts as no response: the caller retries the request or counts it as failed.
            return Optional.empty();
        }
    }
}
