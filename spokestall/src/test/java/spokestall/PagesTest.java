package spokestall;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that classes named in the pages for newcomers exist in the packages given there, and that the operators' page
 * lists every log event.
 */
class PagesTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    /** The last part of a package if given, a class, and a nested class or member if given. */
    private static final Pattern NAME = Pattern.compile("`(?:([a-z]+)\\.)?([A-Z]\\w+)(?:\\.(\\w+))?`");

    private static final Pattern EVENT = Pattern.compile("\"event=([a-zA-Z_]+)");

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(f -> f.toString().contains("/src/"))
                    .filter(f -> f.toString().endsWith(".java"))
                    .toList();
        }
    }

    private static boolean matches(final Path file, final Matcher name) throws IOException {
        return file.getFileName().toString().equals(name.group(2) + ".java")
                && (name.group(1) == null || file.getParent().endsWith(name.group(1)))
                && (name.group(3) == null || Files.readString(file).contains(name.group(3)));
    }

    private static List<String> unknownNames(final String page) throws IOException {
        final List<String> unknown = new ArrayList<>();
        final List<Path> sources = sources();
        final Matcher name = NAME.matcher(page);
        while (name.find()) {
            boolean known = false;
            for (final Path file : sources) {
                known |= matches(file, name);
            }
            if (!known) {
                unknown.add(name.group());
            }
        }
        return unknown;
    }

    @Test
    void classesNamedInDocsExist() throws IOException {
        assertThat(
                        unknownNames(
                                "`proxy.RequestExecution`, `RequestExecution.late`, `Node.start`, `usage.RequestExecution`, `Gone`, `Node.gone2`"))
                .containsExactly("`usage.RequestExecution`", "`Gone`", "`Node.gone2`");
        for (final String page : List.of("docs/architecture.md", "docs/glossary.md")) {
            assertThat(unknownNames(Files.readString(ROOT.resolve(page))))
                    .as(page)
                    .isEmpty();
        }
    }

    private static List<String> eventsOf(final String source) {
        final List<String> events = new ArrayList<>();
        final Matcher event = EVENT.matcher(source);
        while (event.find()) {
            events.add(event.group(1));
        }
        return events;
    }

    @Test
    void everyLogEventIsDocumented() throws IOException {
        final String page = Files.readString(ROOT.resolve("docs/operating.md"));
        assertThat(eventsOf("log(\"event=one node=%s\"); log(\"event=an_other\")"))
                .containsExactly("one", "an_other");
        final List<String> missing = new ArrayList<>();
        int found = 0;
        for (final Path file : sources()) {
            if (file.toString().contains("/src/main/") && !file.startsWith(ROOT.resolve("testbed"))) {
                for (final String event : eventsOf(Files.readString(file))) {
                    found++;
                    if (!page.contains("`" + event + "`")) {
                        missing.add(file.getFileName() + " logs " + event);
                    }
                }
            }
        }
        assertThat(found).as("events in the sources").isGreaterThan(20);
        assertThat(missing).isEmpty();
    }
}
