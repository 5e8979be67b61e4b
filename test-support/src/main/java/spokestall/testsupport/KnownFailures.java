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
 * The list of tests that fail for a real fault which is not mended yet: KNOWN-RED.txt in the root of the repository.
 *
 * <p>One line each: {@code <test class> <what fails in it>: <cause>; issue <number>}. For a test method the second part is its
 * name; a test that judges many runs gives it a form of its own. At most {@value #MAX_ENTRIES} lines.
 *
 * <p>Immutable.
 */
public final class KnownFailures {
    /**
     * One line of the list.
     *
     * @param testClass the simple name of the test class
     * @param subject what fails in that class: a method's name, or what a run is told apart by
     * @param cause why it fails
     * @param issue the number of the issue under which it is mended
     */
    public record Entry(String testClass, String subject, String cause, int issue) {
        /** Returns the entry as it is printed in a test run: its line of the file, marked as known. */
        public String notice() {
            return "known red: " + testClass + " " + subject + ": " + cause + "; issue " + issue;
        }
    }

    /** How many tests may be listed at a time. */
    public static final int MAX_ENTRIES = 3;

    /** Names the file, as an absolute path; set by the build. */
    private static final String FILE_PROPERTY = "spokestall.knownRed";

    private static final Pattern LINE = Pattern.compile("(\\S+) ([^:]+): (.+); issue (\\d+)");
    private static final KnownFailures LISTED = read(Path.of(System.getProperty(FILE_PROPERTY, "../KNOWN-RED.txt")));

    private final List<Entry> entries;

    private KnownFailures(final List<Entry> entries) {
        this.entries = entries;
    }

    /** Returns the list of this repository; empty without the file. */
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
     * Parses the file's lines; blank ones are skipped.
     *
     * @throws IllegalArgumentException if a line has another form, or if there are too many
     */
    static KnownFailures parse(final List<String> lines) {
        final List<Entry> entries = lines.stream()
                .filter(line -> !line.isBlank())
                .map(KnownFailures::parseLine)
                .toList();
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(
                    "KNOWN-RED.txt has " + entries.size() + " lines; at most " + MAX_ENTRIES + " are allowed");
        }
        return new KnownFailures(entries);
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
