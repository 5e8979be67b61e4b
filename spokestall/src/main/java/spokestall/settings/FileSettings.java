package spokestall.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/** Settings from spokestall's own file and from flags, which win over it; the file may be null. */
public record FileSettings(Path settingsFile, Map<String, String> flags, boolean core) implements SettingsSource {
    @Override
    public Settings.Read read() {
        return Settings.read(settingsFile, flags, core);
    }

    @Override
    public Optional<Path> file() {
        return Optional.ofNullable(settingsFile);
    }
}
