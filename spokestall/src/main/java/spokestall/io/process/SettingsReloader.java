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
 * Notices that the settings have changed, by a signal or by the file's state, reads them anew and hands on what is good.
 * Settings that can't be read or are wrong are logged and leave those in force.
 */
final class SettingsReloader {
    /** What tells two states of a file apart without reading it. */
    private record FileState(FileTime modified, long bytes, Object fileKey) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final SettingsSource source;
    private final Executor reader;
    private final Consumer<Settings> onChanged;
    private Optional<FileState> lastSeen;

    /** The reader carries out one task after the other. */
    SettingsReloader(final SettingsSource source, final Executor reader, final Consumer<Settings> onChanged) {
        this.source = source;
        this.reader = reader;
        this.onChanged = onChanged;
        this.lastSeen = currentState();
    }

    /** Reads anew if the file is another than at the last look. */
    void checkFile() {
        reader.execute(() -> {
            if (!currentState().equals(lastSeen)) {
                read();
            }
        });
    }

    /** Reads anew, whether or not the file seems changed. */
    void reload() {
        reader.execute(this::read);
    }

    private void read() {
        // The state is taken before the content: a change in between is read at the next look.
        lastSeen = currentState();
        final SettingsResult read = source.read();
        if (read instanceof SettingsResult.Invalid bad) {
            LOG.atWarning().log("event=settings_refused why=\"%s\"", bad.errors());
        } else if (read instanceof SettingsResult.Valid good) {
            onChanged.accept(good.settings());
        }
    }

    /** A file that is gone or can't be looked at has no state; it is read again once it has one. */
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
