package spokestall.message;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads golden files whose lines have a name followed by bytes in hex: {@code <name> <hex>}. */
final class GoldenLines {
    private GoldenLines() {}

    /** Returns the hex bytes by name. */
    static Map<String, String> read(final String resource) throws IOException {
        final Map<String, String> lines = new TreeMap<>();
        text(resource)
                .lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .forEach(line -> {
                    final int at = line.lastIndexOf(' ');
                    if (lines.put(line.substring(0, at), line.substring(at + 1)) != null) {
                        throw new IllegalStateException("duplicate line for " + line.substring(0, at));
                    }
                });
        return lines;
    }

    private static String text(final String resource) throws IOException {
        try (InputStream in = GoldenLines.class.getResourceAsStream("/golden/" + resource)) {
            if (in == null) {
                throw new IOException("missing resource golden/" + resource);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
