package spokestall.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import spokestall.storage.DirectorySync;

/**
 * Ownership of a core's data directory: it belongs to one node, has one format, and is used by one process at a time. A directory
 * that belongs to another node, has another format or has a log but no owner is refused and left as it is. Called once, at start;
 * blocks.
 *
 * <p>Files: {@code lock}, locked while the process runs; {@code owner}, one line with format and node name, synced under another name
 * and then renamed, so that it is complete or absent.
 */
public final class DataDirectory {
    private static final int FORMAT = 1;

    private DataDirectory() {}

    /**
     * Takes a directory for a node, creating it if there is none.
     *
     * @return null if the node owns the directory now, else the reason why not, for the operator
     * @throws IOException if a file in the directory can't be read or written
     */
    public static String open(final Path directory, final String name) throws IOException {
        final String expected = "spokestall format=" + FORMAT + " node=" + name + "\n";
        final Path owner = directory.resolve("owner");
        try {
            Files.createDirectories(directory);
        } catch (final FileSystemException e) {
            return directory + " can't be made a folder: " + e.getMessage();
        }
        // The channel is not closed: the lock is meant to last until the process ends.
        if (FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
                        .tryLock()
                == null) {
            return directory + " is in use by another process";
        }
        if (Files.exists(owner)) {
            final String found = Files.readString(owner);
            return found.equals(expected)
                    ? null
                    : directory + " is of '" + found.trim() + "', not of '" + expected.trim() + "'";
        }
        if (Files.exists(directory.resolve("ring"))) {
            return directory + " has a ring but no owner; it is not overwritten";
        }
        final Path temporary = directory.resolve("owner.new");
        try (FileChannel file = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(expected.getBytes(StandardCharsets.UTF_8)));
            file.force(true);
        }
        Files.move(temporary, owner, StandardCopyOption.ATOMIC_MOVE);
        DirectorySync.sync(directory);
        return null;
    }
}
