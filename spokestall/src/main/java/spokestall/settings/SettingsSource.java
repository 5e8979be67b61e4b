package spokestall.settings;

import java.nio.file.Path;
import java.util.Optional;

/** Where a node's settings come from, so that they can be read again while it runs. Calls block on files. */
public interface SettingsSource {
    /** Reads and checks all settings as they are now. */
    SettingsResult read();

    /** Returns the file whose modification means that there are newer settings; empty if there is none. */
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
