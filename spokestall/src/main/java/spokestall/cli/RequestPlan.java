package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import spokestall.configuration.ConfigurationStore;

/** The kinds of requests that the load generator sends, with their weights. Immutable. */
final class RequestPlan {
    /**
     * One kind of request.
     *
     * @param key the tenant's API key
     * @param path the path of the request
     * @param runOnce whether the request must not run twice; such a request is a POST whose id contains a ticket
     */
    record Kind(String key, String path, boolean runOnce) {}

    private final List<Kind> weighted;

    private RequestPlan(final List<Kind> weighted) {
        this.weighted = weighted;
    }

    /** Reads a plan from a JSON list; throws {@link IOException} if the file can't be read. */
    static RequestPlan read(final Path file) throws IOException {
        final List<Kind> weighted = new ArrayList<>();
        for (final JsonNode entry : ConfigurationStore.JSON.readTree(file.toFile())) {
            final Kind kind = new Kind(
                    entry.path("key").asText(),
                    entry.path("path").asText(),
                    entry.path("runOnce").asBoolean());
            for (int i = 0; i < entry.path("weight").asInt(1); i++) {
                weighted.add(kind);
            }
        }
        return new RequestPlan(weighted);
    }

    /** Returns a random kind; each kind's probability is proportional to its weight. */
    Kind draw(final Random random) {
        return weighted.get(random.nextInt(weighted.size()));
    }
}
