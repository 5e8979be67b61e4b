package spokestall.io.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.settings.FileSettings;

class SettingsReloaderTest {
    private static final String GOOD = """
            {"name":"d1-edge","address":"10.0.0.1:7100","http":"10.0.0.1:7200","district":"d1","districts":"d1=r1",
             "seeds":"10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100","platform":"10.0.9.1:80","whereS":%s}
            """;
    private final List<String> taken = new ArrayList<>();
    private Path file;
    private SettingsReloader watch;

    @BeforeEach
    void start(@TempDir final Path folder) throws Exception {
        file = folder.resolve("node.json");
        Files.writeString(file, GOOD.formatted("2"));
        watch = new SettingsReloader(
                new FileSettings(file, Map.of(), false), Runnable::run, newer -> taken.add(newer.text("whereS")));
    }

    @Test
    void aFileIsReadAnewOnceItHasChanged() throws Exception {
        watch.look();
        assertThat(taken).isEmpty();
        Files.writeString(file, GOOD.formatted("3.5"));
        watch.look();
        watch.look();
        assertThat(taken).containsExactly("3.5");
    }

    @Test
    void aSignalHasTheFileReadWhetherOrNotItLooksChanged() {
        watch.signalled();
        assertThat(taken).containsExactly("2");
    }

    @Test
    void aFileThatIsBadOrGoneLeavesTheSettingsAndIsReadAgainWhenItIsMended() throws Exception {
        Files.writeString(file, GOOD.formatted("\"soon\""));
        watch.look();
        watch.signalled();
        Files.writeString(file, "{\"name\":");
        watch.look();
        Files.delete(file);
        watch.look();
        watch.signalled();
        assertThat(taken).isEmpty();
        Files.writeString(file, GOOD.formatted("4.25"));
        watch.look();
        assertThat(taken).containsExactly("4.25");
    }

    @Test
    void aSignalThatComesBeforeAnyoneListensIsKept() {
        final HangupSignal hangup = new HangupSignal();
        hangup.raised();
        hangup.raised();
        hangup.listen(watch::signalled);
        assertThat(taken).containsExactly("2");
        hangup.raised();
        assertThat(taken).hasSize(2);
    }
}
