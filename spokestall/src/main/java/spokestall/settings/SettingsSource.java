package spokestall.settings;

import java.nio.file.Path;
import java.util.Optional;

/** Where a node's settings come from, so that they can be read anew while it runs. */
public interface SettingsSource {
    /** Reads and checks all settings as they stand now. */
    Settings.Read read();

    /** The file whose change means that there are newer settings; empty where there is none. */
    Optional<Path> file();

    /** Settings that never change. */
    static SettingsSource constant(final Settings settings) {
        return new SettingsSource() {
            @Override
            public Settings.Read read() {
                return new Settings.Read.Good(settings);
            }

            @Override
            public Optional<Path> file() {
                return Optional.empty();
            }
        };
    }
}
