package spokestall.testsupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Reads golden files: literal texts of external formats, which tests compare with the program's input and output. The files are in the
 * folder {@code golden} of the test resources on the class path.
 */
public final class GoldenFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private GoldenFile() {}

    /** Returns the whole text of a file. */
    public static String text(final String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (final IOException e) {
            throw new IllegalStateException(name, e);
        }
    }

    /** Returns a file's lines. */
    public static List<String> lines(final String name) {
        return text(name).lines().toList();
    }

    /** Returns a file's text as JSON. */
    public static JsonNode json(final String name) {
        return parsed(text(name));
    }

    /** Parses a text as JSON. */
    public static JsonNode parsed(final String text) {
        try {
            return JSON.readTree(text);
        } catch (final IOException e) {
            throw new IllegalStateException(text, e);
        }
    }
}
