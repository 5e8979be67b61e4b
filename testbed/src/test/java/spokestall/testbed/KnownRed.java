package spokestall.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The lines of KNOWN-RED.txt: what is red for a real fault that is not mended yet. A run passes over just these. */
public final class KnownRed {
    private KnownRed() {}

    /** Those of one test, without its name. */
    public static List<String> of(final String test) {
        final Path file = Path.of("..", "KNOWN-RED.txt");
        try {
            return !Files.exists(file)
                    ? List.of()
                    : Files.readAllLines(file).stream()
                            .filter(l -> l.startsWith(test + " "))
                            .map(l -> l.substring(test.length() + 1))
                            .toList();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
