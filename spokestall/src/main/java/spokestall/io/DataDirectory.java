package spokestall.io;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import spokestall.storage.DirectorySync;

/**
 * Ownership of a core's data directory: it belongs to one node, has one format, and is used by one process at a time. A directory
 * that belongs to another node, has another format, or has a log but no owner file is rejected and not changed. Opened once, at
 * start, before any other file in it; blocks.
 *
 * <p>The lock lasts as long as its owner keeps this object reachable, so a process keeps it until it ends.
 *
 * <p>Files: {@code lock}, locked while the process runs; {@code owner}, one line with format and node name, synced under another name
 * and then renamed, so that it is complete or absent.
 */
public final class DataDirectory {
    private static final int FORMAT = 1;

    /** The locked file. An unreachable channel would be closed by the garbage collector, which releases the lock. */
    private final FileLock lock;

    private DataDirectory(final FileLock lock) {
        this.lock = lock;
    }

    /**
     * Opens a directory for a node, creating it if there is none.
     *
     * @throws IOException if a file in the directory can't be read or written
     */
    public static OpenResult open(final Path directory, final String name) throws IOException {
        try {
            Files.createDirectories(directory);
        } catch (final FileSystemException e) {
            return new OpenResult.Refused(directory + " can't be created as a directory: " + e.getMessage());
        }
        final FileChannel channel =
                FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        final FileLock lock = tryLock(channel);
        if (lock == null) {
            channel.close();
            return new OpenResult.Refused(directory + " is in use by another process");
        }
        final String refusal = claim(directory, name);
        if (refusal != null) {
            channel.close();
            return new OpenResult.Refused(refusal);
        }
        return new OpenResult.Opened(new DataDirectory(lock));
    }

    /** Returns the lock, or null if another process or another node of this process has it. */
    private static FileLock tryLock(final FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (final OverlappingFileLockException e) {
            return null;
        }
    }

    /** Writes the owner file if there is none. Returns why the directory can't be the node's, or null if it is. */
    private static String claim(final Path directory, final String name) throws IOException {
        final String expected = "spokestall format=" + FORMAT + " node=" + name + "\n";
        final Path owner = directory.resolve("owner");
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

    @Override
    public String toString() {
        return "DataDirectory[" + lock + "]";
    }
}
