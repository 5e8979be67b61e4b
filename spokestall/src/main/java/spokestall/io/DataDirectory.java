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
 * that belongs to another node, has another format, or has a log but no owner file is rejected and not changed. Called once, at
 * start; blocks.
 *
 * <p>Files: {@code lock}, locked while the process runs; {@code owner}, one line with format and node name, synced under another name
 * and then renamed, so that it is complete or absent.
 */
public final class DataDirectory {
    private static final int FORMAT = 1;

    private DataDirectory() {}

    /**
     * Claims a directory for a node, creating it if there is none.
     *
     * @return null if the node now owns the directory, otherwise the reason for the operator
     * @throws IOException if a file in the directory can't be read or written
     */
    public static String open(final Path directory, final String name) throws IOException {
        final String expected = "spokestall format=" + FORMAT + " node=" + name + "\n";
        final Path owner = directory.resolve("owner");
        try {
            Files.createDirectories(directory);
        } catch (final FileSystemException e) {
            return directory + " can't be created as a directory: " + e.getMessage();
        }
        // The channel is not closed, so the lock lasts until the process ends.
        if (FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
                        .tryLock()
                == null) {
            return directory + " is in use by another process";
        }
        if (Files.exists(owner)) {
            final String found = Files.readString(owner);
            return found.equals(expected)
                    ? null
                    : directory + " belongs to '" + found.trim() + "', not to '" + expected.trim() + "'";
        }
        if (Files.exists(directory.resolve("ring"))) {
            return directory + " has a log (ring) but no owner file; it is not overwritten";
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
