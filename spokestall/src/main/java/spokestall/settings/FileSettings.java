package spokestall.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/**
 * Settings from a JSON file and from flags, which override the file. Thread-safe.
 *
 * @param settingsFile the settings file; null if there is none
 * @param flags values by their keys
 * @param core whether the node is a core
 */
public record FileSettings(Path settingsFile, Map<String, String> flags, boolean core) implements SettingsSource {
    @Override
    public SettingsResult read() {
        return SettingsReader.read(settingsFile, flags, core);
    }

    @Override
    public Optional<Path> file() {
        return Optional.ofNullable(settingsFile);
    }
}
