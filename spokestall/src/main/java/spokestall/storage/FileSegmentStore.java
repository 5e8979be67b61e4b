package spokestall.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Segments stored as the files {@code segment-0}, {@code segment-1}, ... of one directory. The files are filled with zeros before
 * the first record is written, and stay open until the process ends.
 *
 * <p>Lost files: {@link #open} syncs all files and the directory's entries before it returns, so no record is written before all
 * files have their full size on disk. If a later start finds a file missing, or shorter than another, and any file contains
 * records, then synced records are lost: {@link #open} zeroes all files, and the log is blank. The configured size may grow
 * between starts; enlarged files keep their records.
 *
 * <p>Threading: {@link #read} blocks the caller. {@link #commit} writes and syncs on the disk executor, which must run tasks one at
 * a time in submission order, and reports the result on the callback executor.
 */
public final class FileSegmentStore implements SegmentStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int ZEROS_BYTES = 1 << 16;

    private final List<FileChannel> files = new ArrayList<>();
    private final int sizeBytes;
    private final Executor diskExecutor;
    private final Executor callbackExecutor;

    private FileSegmentStore(final int sizeBytes, final Executor diskExecutor, final Executor callbackExecutor) {
        this.sizeBytes = sizeBytes;
        this.diskExecutor = diskExecutor;
        this.callbackExecutor = callbackExecutor;
    }

    /**
     * Opens the files; creates missing ones and extends short ones. Blocks.
     *
     * @param sizeBytes size of each file; must not be smaller than at an earlier start
     * @throws IOException if a file can't be created, written or synced
     */
    public static FileSegmentStore open(
            final Path directory,
            final int count,
            final int sizeBytes,
            final Executor diskExecutor,
            final Executor callbackExecutor)
            throws IOException {
        Files.createDirectories(directory);
        final List<Path> paths = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            paths.add(directory.resolve("segment-" + i));
        }
        if (hasLostFile(paths)) {
            LOG.atSevere().log("event=log_segments_lost directory=%s", directory);
            zeroExisting(paths);
        }
        final FileSegmentStore store = new FileSegmentStore(sizeBytes, diskExecutor, callbackExecutor);
        for (final Path path : paths) {
            final FileChannel file = FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
            zero(file, file.size(), sizeBytes);
            file.force(true);
            store.files.add(file);
        }
        DirectorySync.sync(directory);
        DirectorySync.sync(directory.toAbsolutePath().getParent());
        return store;
    }

    /**
     * Returns whether a file that held records is missing or truncated. An interrupted first start also leaves files missing or
     * short, but all of them contain only zeros.
     */
    private static boolean hasLostFile(final List<Path> paths) throws IOException {
        final Set<Long> sizes = new HashSet<>();
        for (final Path path : paths) {
            sizes.add(Files.exists(path) ? Files.size(path) : 0L);
        }
        if (sizes.size() == 1) {
            return false;
        }
        for (final Path path : paths) {
            if (Files.exists(path) && hasNonZeroByte(path)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasNonZeroByte(final Path path) throws IOException {
        for (final byte value : Files.readAllBytes(path)) {
            if (value != 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Zeroes the remaining files. Runs before missing files are created, so that the next start still detects the loss if this
     * one is interrupted.
     */
    private static void zeroExisting(final List<Path> paths) throws IOException {
        for (final Path path : paths) {
            if (Files.exists(path)) {
                try (FileChannel file = FileChannel.open(path, StandardOpenOption.WRITE)) {
                    zero(file, 0, file.size());
                    file.force(true);
                }
            }
        }
    }

    private static void zero(final FileChannel file, final long from, final long until) throws IOException {
        final ByteBuffer zeros = ByteBuffer.allocate(ZEROS_BYTES);
        long offset = from;
        while (offset < until) {
            zeros.clear().limit((int) Math.min(zeros.capacity(), until - offset));
            offset += file.write(zeros, offset);
        }
    }

    @Override
    public int count() {
        return files.size();
    }

    @Override
    public int sizeBytes() {
        return sizeBytes;
    }

    @Override
    public byte[] read(final int segment) {
        try {
            final ByteBuffer bytes = ByteBuffer.allocate(sizeBytes);
            int count = 1;
            while (bytes.hasRemaining() && count > 0) {
                count = files.get(segment).read(bytes, bytes.position());
            }
            return bytes.array();
        } catch (final IOException e) {
            // SegmentedLog enters the state BROKEN, which the node reports.
            return null;
        }
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        diskExecutor.execute(() -> {
            final boolean synced = writeAndSync(chunks);
            callbackExecutor.execute(() -> done.accept(synced));
        });
    }

    private boolean writeAndSync(final List<Chunk> chunks) {
        try {
            final Set<Integer> written = new LinkedHashSet<>();
            for (final Chunk chunk : chunks) {
                final ByteBuffer bytes = ByteBuffer.wrap(chunk.bytes());
                long offset = chunk.offset();
                while (bytes.hasRemaining()) {
                    offset += files.get(chunk.segment()).write(bytes, offset);
                }
                written.add(chunk.segment());
            }
            for (final int segment : written) {
                files.get(segment).force(false);
            }
            return true;
        } catch (final IOException e) {
            // SegmentedLog enters the state REFUSING, which the node logs once, and later retries the same chunks.
            return false;
        }
    }
}
