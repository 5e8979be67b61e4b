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

/** The data folder's owner: one node, one format, one process at a time. What is another's is never overwritten. */
public final class DataDirectory {
    private static final int FORMAT = 1;

    private DataDirectory() {}

    /** Takes the folder for a node; why it can't be had, or null. */
    public static String open(final Path folder, final String name) throws IOException {
        final String mine = "spokestall format=" + FORMAT + " node=" + name + "\n";
        final Path owner = folder.resolve("owner");
        try {
            Files.createDirectories(folder);
        } catch (final FileSystemException e) {
            return folder + " can't be made a folder: " + e.getMessage();
        }
        // The lock is held, unreferenced, until the process ends.
        if (FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
                        .tryLock()
                == null) {
            return folder + " is in use by another process";
        }
        if (Files.exists(owner)) {
            final String had = Files.readString(owner);
            return had.equals(mine) ? null : folder + " is of '" + had.trim() + "', not of '" + mine.trim() + "'";
        }
        if (Files.exists(folder.resolve("ring"))) {
            return folder + " has a ring but no owner; it is not overwritten";
        }
        final Path fresh = folder.resolve("owner.new");
        try (FileChannel file = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(mine.getBytes(StandardCharsets.UTF_8)));
            file.force(true);
        }
        Files.move(fresh, owner, StandardCopyOption.ATOMIC_MOVE);
        DirectorySync.sync(folder);
        return null;
    }
}
