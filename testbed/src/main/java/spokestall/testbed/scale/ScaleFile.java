package spokestall.testbed.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A run's figures in a file: a line of JSON that names the run, then one for each figure. */
record ScaleFile(JsonNode run, Map<String, Double> figures) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static ObjectNode head(final ScaleRun run) {
        final ScaleFlags f = run.shape.flags;
        return JSON.createObjectNode()
                .put("nodes", f.nodes)
                .put("cores", f.cores)
                .put("regions", f.regions)
                .put("districts", f.zones)
                .put("upstreams", f.upstreams)
                .put("services", f.services)
                .put("bindings", f.routes)
                .put("tenants", f.tenants)
                .put("rate", f.rate)
                .put("warm", f.warm)
                .put("seconds", f.seconds)
                .put("set", String.join(" ", f.set))
                .put("seed", f.seed)
                .put("digest", Long.toHexString(run.digest()))
                .put("whole", run.whole())
                .put("virtualS", run.steps.nowMs() / 1000.0)
                .put("wallS", run.wallS());
    }

    static void write(final Path file, final JsonNode head, final List<Figure> figures) throws IOException {
        final List<String> lines = new ArrayList<>();
        lines.add(head.toString());
        for (final Figure f : figures) {
            lines.add(JSON.createObjectNode()
                    .put("name", f.name())
                    .put("value", f.value())
                    .toString());
        }
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        Files.write(file, lines);
    }

    static ScaleFile read(final Path file) throws IOException {
        final List<String> lines = Files.readAllLines(file);
        final Map<String, Double> figures = new LinkedHashMap<>();
        for (final String line : lines.subList(1, lines.size())) {
            final JsonNode f = JSON.readTree(line);
            figures.put(f.path("name").asText(), f.path("value").asDouble());
        }
        return new ScaleFile(JSON.readTree(lines.get(0)), figures);
    }
}
