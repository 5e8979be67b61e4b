package spokestall.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.testsupport.GoldenFile;

/** The settings file format: its keys, their defaults and the parsed values. */
class SettingsFormatTest {
    private static SettingsResult read(final Path folder, final String text) throws Exception {
        final Path file = folder.resolve("settings.json");
        Files.writeString(file, text);
        return SettingsReader.read(file, Map.of(), true);
    }

    private static Settings everyKey(final Path folder) throws Exception {
        final SettingsResult read = read(folder, GoldenFile.text("settings.json"));
        assertThat(read).isInstanceOf(SettingsResult.Valid.class);
        return ((SettingsResult.Valid) read).settings();
    }

    @Test
    void everyKeyIsReadWithItsWrittenValue(@TempDir final Path folder) throws Exception {
        final Settings settings = everyKey(folder);
        final JsonNode written = GoldenFile.json("settings.json");
        written.fields().forEachRemaining(entry -> {
            final String key = entry.getKey();
            assertThat(settings.text(key)).as(key).isEqualTo(entry.getValue().asText());
            if (entry.getValue().isNumber()) {
                assertThat(settings.number(key))
                        .as(key)
                        .isEqualTo(entry.getValue().asDouble());
                assertThat(settings.integer(key))
                        .as(key)
                        .isEqualTo(entry.getValue().asLong());
            }
        });
    }

    @Test
    void settingsHaveExactlyTheKeysOfTheGoldenFile(@TempDir final Path folder) throws Exception {
        final List<String> written = new ArrayList<>();
        GoldenFile.json("settings.json").fieldNames().forEachRemaining(written::add);
        assertThat(everyKey(folder).values()).containsOnlyKeys(written);
    }

    @Test
    void structuredTextsAreParsed(@TempDir final Path folder) throws Exception {
        final Settings settings = everyKey(folder);
        assertThat(settings.listenAddress()).isEqualTo("10.1.0.2:7101");
        assertThat(settings.operatorAddress()).isEqualTo("10.1.0.1:8090");
        assertThat(settings.peerNetworks()).isEqualTo("10.1.0.0/16,10.2.0.0/16");
        assertThat(settings.seeds()).containsExactly("10.1.0.1:7100", "10.2.0.1:7100", "10.3.0.1:7100");
        assertThat(settings.zones()).isEqualTo(Map.of("d1", "r1", "d2", "r2", "d3", "r2"));
        assertThat(settings.regions()).containsExactly("r1", "r2");
        assertThat(settings.region()).isEqualTo("r1");
        assertThat(settings.region("d3")).isEqualTo("r2");
    }

    @Test
    void helpListsEveryKeyWithItsDefault() {
        final List<String> found = new ArrayList<>();
        Settings.help().lines().forEach(line -> found.add(keyAndDefault(line)));
        assertThat(found).isEqualTo(GoldenFile.lines("settings-defaults.txt"));
    }

    private static String keyAndDefault(final String line) {
        final String key = line.strip().split(" ")[0];
        if (line.endsWith(" (must be given)")) {
            return key + " (must be given)";
        }
        return line.endsWith("]") ? key + line.substring(line.lastIndexOf(" [")) : key;
    }

    @Test
    void errorsNameTheKeyAndTheReason(@TempDir final Path folder) throws Exception {
        final SettingsResult read = read(folder, GoldenFile.text("settings-broken.json"));
        final List<String> reported = new ArrayList<>();
        ((SettingsResult.Invalid) read).errors().forEach(error -> reported.add(error.toString()));
        assertThat(reported).isEqualTo(GoldenFile.lines("settings-broken-troubles.txt"));
    }
}
