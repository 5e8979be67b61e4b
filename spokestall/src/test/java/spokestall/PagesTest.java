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

/** The pages for newcomers name classes that exist, in the packages that they name. */
class PagesTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    /** A package's last part if given, a class, and a nested class or a member of it if given. */
    private static final Pattern NAME = Pattern.compile("`(?:([a-z]+)\\.)?([A-Z]\\w+)(?:\\.(\\w+))?`");

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(f -> f.toString().contains("/src/"))
                    .filter(f -> f.toString().endsWith(".java"))
                    .toList();
        }
    }

    private static boolean isNamed(final Path file, final Matcher name) throws IOException {
        return file.getFileName().toString().equals(name.group(2) + ".java")
                && (name.group(1) == null || file.getParent().endsWith(name.group(1)))
                && (name.group(3) == null || Files.readString(file).contains(name.group(3)));
    }

    private static List<String> unknown(final String page) throws IOException {
        final List<String> found = new ArrayList<>();
        final List<Path> sources = sources();
        final Matcher name = NAME.matcher(page);
        while (name.find()) {
            boolean known = false;
            for (final Path file : sources) {
                known |= isNamed(file, name);
            }
            if (!known) {
                found.add(name.group());
            }
        }
        return found;
    }

    @Test
    void everyClassThatIsNamedExists() throws IOException {
        assertThat(
                        unknown(
                                "`proxy.RequestExecution`, `RequestExecution.late`, `Node.start`, `usage.RequestExecution`, `Gone`, `Node.gone2`"))
                .containsExactly("`usage.RequestExecution`", "`Gone`", "`Node.gone2`");
        for (final String page : List.of("docs/architecture.md", "docs/glossary.md")) {
            assertThat(unknown(Files.readString(ROOT.resolve(page)))).as(page).isEmpty();
        }
    }
}
