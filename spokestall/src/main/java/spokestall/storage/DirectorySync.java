package spokestall.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Directory syncs. Creating, renaming or removing a file survives a power loss only after its directory is synced. */
public final class DirectorySync {
    private DirectorySync() {}

    /** Syncs a directory's entries. Blocks; throws {@link IOException} if the directory can't be opened or synced. */
    public static void sync(final Path directory) throws IOException {
        try (FileChannel entries = FileChannel.open(directory, StandardOpenOption.READ)) {
            entries.force(true);
        }
    }
}
