package spokestall.message;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads test resources of lines that end with literal bytes in hex: {@code <which instance> <hex>}. */
final class GoldenLines {
    private GoldenLines() {}

    /** What stands before the hex, with the hex. */
    static Map<String, String> read(final String resource) throws IOException {
        final Map<String, String> lines = new TreeMap<>();
        text(resource)
                .lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .forEach(line -> {
                    final int at = line.lastIndexOf(' ');
                    if (lines.put(line.substring(0, at), line.substring(at + 1)) != null) {
                        throw new IllegalStateException("two lines for " + line.substring(0, at));
                    }
                });
        return lines;
    }

    private static String text(final String resource) throws IOException {
        try (InputStream in = GoldenLines.class.getResourceAsStream("/golden/" + resource)) {
            if (in == null) {
                throw new IOException("no resource golden/" + resource);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
