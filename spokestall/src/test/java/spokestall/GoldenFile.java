package spokestall;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads the literal texts of external formats that tests compare with what the program reads and writes. */
public final class GoldenFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private GoldenFile() {}

    /** The whole text of a file in the folder golden. */
    public static String text(final String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (final IOException e) {
            throw new IllegalStateException(name, e);
        }
    }

    /** Its lines. */
    public static List<String> lines(final String name) {
        return text(name).lines().toList();
    }

    /** Its text as JSON. */
    public static JsonNode json(final String name) {
        return parsed(text(name));
    }

    /** Any text as JSON. */
    public static JsonNode parsed(final String text) {
        try {
            return JSON.readTree(text);
        } catch (final IOException e) {
            throw new IllegalStateException(text, e);
        }
    }
}
