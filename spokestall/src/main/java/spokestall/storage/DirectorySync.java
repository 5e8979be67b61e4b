package spokestall.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Folders on disk: a name that was made, renamed or removed in one lasts once it is synced. */
public final class DirectorySync {
    private DirectorySync() {}

    /** Syncs the names in a folder. */
    public static void sync(final Path folder) throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }
}
