package spokestall.settings;

import java.nio.file.Path;
import java.util.Optional;

/** Source of a node's settings, which a running node can read again. Calls may block on file access. */
public interface SettingsSource {
    /** Reads and validates the current settings. */
    SettingsResult read();

    /** Returns the file to watch for newer settings; empty if there is none. */
    Optional<Path> file();

    /** Returns a source of settings that never change. */
    static SettingsSource constant(final Settings settings) {
        return new SettingsSource() {
            @Override
            public SettingsResult read() {
                return new SettingsResult.Valid(settings);
            }

            @Override
            public Optional<Path> file() {
                return Optional.empty();
            }
        };
    }
}
