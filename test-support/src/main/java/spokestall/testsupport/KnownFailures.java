package spokestall.testsupport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The list of tests that fail because of a real fault that is not fixed yet: KNOWN-RED.txt in the root of the repository.
 *
 * <p>Each line has the form {@code <test class> <subject>: <cause>; issue <number>}. The subject is the name of a test method; a test that
 * judges many runs defines a format of its own.
 *
 * <p>Immutable.
 */
public final class KnownFailures {
    /**
     * One line of the list.
     *
     * @param testClass the simple name of the test class
     * @param subject the failing test method's name, or the identification of a run
     * @param cause the cause of the failure
     * @param issue the number of the issue that tracks the fix
     */
    public record Entry(String testClass, String subject, String cause, int issue) {
        /** Returns the text that a test run prints for the entry: its line of the file, marked as known. */
        public String notice() {
            return "known red: " + testClass + " " + subject + ": " + cause + "; issue " + issue;
        }
    }

    /** The system property with the absolute path of the file; set by the build. */
    private static final String FILE_PROPERTY = "spokestall.knownRed";

    private static final Pattern LINE = Pattern.compile("(\\S+) ([^:]+): (.+); issue (\\d+)");
    private static final KnownFailures LISTED = read(Path.of(System.getProperty(FILE_PROPERTY, "../KNOWN-RED.txt")));

    private final List<Entry> entries;

    private KnownFailures(final List<Entry> entries) {
        this.entries = entries;
    }

    /** Returns the list of this repository; empty if the file doesn't exist. */
    public static KnownFailures listed() {
        return LISTED;
    }

    private static KnownFailures read(final Path file) {
        try {
            return parse(Files.exists(file) ? Files.readAllLines(file) : List.of());
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses the file's lines and skips blank ones.
     *
     * @throws IllegalArgumentException if a line is malformed
     */
    static KnownFailures parse(final List<String> lines) {
        return new KnownFailures(lines.stream()
                .filter(line -> !line.isBlank())
                .map(KnownFailures::parseLine)
                .toList());
    }

    private static Entry parseLine(final String line) {
        final Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "KNOWN-RED.txt: expected '<test class> <subject>: <cause>; issue <number>', found '" + line + "'");
        }
        return new Entry(matcher.group(1), matcher.group(2), matcher.group(3), Integer.parseInt(matcher.group(4)));
    }

    /** Returns the entries of a test class, by its simple name. */
    public List<Entry> of(final String testClass) {
        return entries.stream()
                .filter(entry -> entry.testClass().equals(testClass))
                .toList();
    }

    /** Returns the entry of a test method, if it is listed. */
    public Optional<Entry> of(final String testClass, final String method) {
        return of(testClass).stream()
                .filter(entry -> entry.subject().equals(method))
                .findFirst();
    }
}
