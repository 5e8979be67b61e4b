package spokestall.io.process;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import spokestall.settings.Settings;
import spokestall.settings.SettingsResult;
import spokestall.settings.SettingsSource;

/**
 * Reloads the settings on a signal or when the state of their file changes, and passes valid ones on. If the settings can't be read or
 * are invalid, that is logged and the current settings remain in effect.
 */
final class SettingsReloader {
    /** The attributes that show a change of the file without reading it. */
    private record FileState(FileTime modified, long bytes, Object fileKey) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final SettingsSource source;
    private final Executor reader;
    private final Consumer<Settings> onChanged;
    private Optional<FileState> lastSeen;

    /** Creates a reloader; {@code reader} must run one task at a time. */
    SettingsReloader(final SettingsSource source, final Executor reader, final Consumer<Settings> onChanged) {
        this.source = source;
        this.reader = reader;
        this.onChanged = onChanged;
        this.lastSeen = currentState();
    }

    /** Reloads the settings if the file has changed since it was last read. */
    void checkFile() {
        reader.execute(() -> {
            if (!currentState().equals(lastSeen)) {
                read();
            }
        });
    }

    /** Reloads the settings, even if the file looks unchanged. */
    void reload() {
        reader.execute(this::read);
    }

    private void read() {
        // The state is read before the content, so a change in between is detected by the next check.
        lastSeen = currentState();
        final SettingsResult read = source.read();
        if (read instanceof SettingsResult.Invalid bad) {
            LOG.atWarning().log("event=settings_refused why=\"%s\"", bad.errors());
        } else if (read instanceof SettingsResult.Valid good) {
            onChanged.accept(good.settings());
        }
    }

    /** Returns the file's state; empty if the file is missing or inaccessible. The file is read again once it has a state. */
    private Optional<FileState> currentState() {
        final Optional<Path> file = source.file();
        if (file.isEmpty()) {
            return Optional.empty();
        }
        try {
            final BasicFileAttributes now = Files.readAttributes(file.get(), BasicFileAttributes.class);
            return Optional.of(new FileState(now.lastModifiedTime(), now.size(), now.fileKey()));
        } catch (final IOException e) {
            return Optional.empty();
        }
    }
}
