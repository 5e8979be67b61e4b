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
    private final List<String> applied = new ArrayList<>();
    private Path file;
    private SettingsReloader reloader;

    @BeforeEach
    void start(@TempDir final Path folder) throws Exception {
        file = folder.resolve("node.json");
        Files.writeString(file, GOOD.formatted("2"));
        reloader = new SettingsReloader(
                new FileSettings(file, Map.of(), false), Runnable::run, newer -> applied.add(newer.text("whereS")));
    }

    @Test
    void reloadsAFileAfterItHasChanged() throws Exception {
        reloader.checkFile();
        assertThat(applied).isEmpty();
        Files.writeString(file, GOOD.formatted("3.5"));
        reloader.checkFile();
        reloader.checkFile();
        assertThat(applied).containsExactly("3.5");
    }

    @Test
    void reloadsOnASignalEvenIfTheFileLooksUnchanged() {
        reloader.reload();
        assertThat(applied).containsExactly("2");
    }

    @Test
    void keepsTheSettingsWhileTheFileIsInvalidOrMissingAndReloadsOnceItIsValid() throws Exception {
        Files.writeString(file, GOOD.formatted("\"soon\""));
        reloader.checkFile();
        reloader.reload();
        Files.writeString(file, "{\"name\":");
        reloader.checkFile();
        Files.delete(file);
        reloader.checkFile();
        reloader.reload();
        assertThat(applied).isEmpty();
        Files.writeString(file, GOOD.formatted("4.25"));
        reloader.checkFile();
        assertThat(applied).containsExactly("4.25");
    }

    @Test
    void deliversASignalRaisedBeforeTheListenerIsSet() {
        final HangupSignal hangup = new HangupSignal();
        hangup.onSignal();
        hangup.onSignal();
        hangup.setListener(reloader::reload);
        assertThat(applied).containsExactly("2");
        hangup.onSignal();
        assertThat(applied).hasSize(2);
    }
}
