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

/** Preallocated files in the data folder. Writes and syncs run on the disk stage, never on the client's. */
public final class FileSegmentStore implements SegmentStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final List<FileChannel> files = new ArrayList<>();
    private final int sizeBytes;
    private final Executor disk;
    private final Executor back;

    /** Example: {@code FileSegmentStore.open(Path.of("data/ring"), 8, 4 << 20, diskStage, controlStage)} */
    public static FileSegmentStore open(
            final Path folder, final int count, final int sizeBytes, final Executor disk, final Executor back)
            throws IOException {
        Files.createDirectories(folder);
        final List<Path> paths = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            paths.add(folder.resolve("segment-" + i));
        }
        if (partlyLost(paths)) {
            LOG.atSevere().log("event=ring_files_lost folder=%s", folder);
            clear(paths);
        }
        final FileSegmentStore made = new FileSegmentStore(sizeBytes, disk, back);
        for (final Path path : paths) {
            final FileChannel file = FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
            made.fill(file);
            made.files.add(file);
        }
        DirectorySync.sync(folder);
        DirectorySync.sync(folder.toAbsolutePath().getParent());
        return made;
    }

    /** Nothing is written to a file before all are made and synced, their folder's names too. So if one is not there, or
     * shorter than another, while another has been written to, it was lost, and with it what cannot be told. */
    private static boolean partlyLost(final List<Path> paths) throws IOException {
        final Set<Long> sizes = new HashSet<>();
        for (final Path path : paths) {
            sizes.add(Files.exists(path) ? Files.size(path) : 0L);
        }
        if (sizes.size() == 1) {
            return false;
        }
        for (final Path path : paths) {
            if (Files.exists(path) && written(path)) {
                return true;
            }
        }
        return false;
    }

    private static boolean written(final Path path) throws IOException {
        for (final byte one : Files.readAllBytes(path)) {
            if (one != 0) {
                return true;
            }
        }
        return false;
    }

    /** Empties what is left before anything is made anew: cut short in between, it is still seen that a file is lost. */
    private static void clear(final List<Path> paths) throws IOException {
        for (final Path path : paths) {
            if (Files.exists(path)) {
                try (FileChannel file = FileChannel.open(path, StandardOpenOption.WRITE)) {
                    zero(file, 0, file.size());
                    file.force(true);
                }
            }
        }
    }

    private FileSegmentStore(final int sizeBytes, final Executor disk, final Executor back) {
        this.sizeBytes = sizeBytes;
        this.disk = disk;
        this.back = back;
    }

    private void fill(final FileChannel file) throws IOException {
        zero(file, file.size(), sizeBytes);
        file.force(true);
    }

    private static void zero(final FileChannel file, final long from, final long until) throws IOException {
        final ByteBuffer zeros = ByteBuffer.allocate(1 << 16);
        long at = from;
        while (at < until) {
            zeros.clear().limit((int) Math.min(zeros.capacity(), until - at));
            at += file.write(zeros, at);
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
            final ByteBuffer all = ByteBuffer.allocate(sizeBytes);
            int count = 1;
            while (all.hasRemaining() && count > 0) {
                count = files.get(segment).read(all, all.position());
            }
            return all.array();
        } catch (final IOException e) {
            return null;
        }
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        disk.execute(() -> {
            final boolean ok = down(chunks);
            back.execute(() -> done.accept(ok));
        });
    }

    private boolean down(final List<Chunk> chunks) {
        try {
            final Set<Integer> touched = new LinkedHashSet<>();
            for (final Chunk chunk : chunks) {
                final ByteBuffer bytes = ByteBuffer.wrap(chunk.bytes());
                long at = chunk.at();
                while (bytes.hasRemaining()) {
                    at += files.get(chunk.segment()).write(bytes, at);
                }
                touched.add(chunk.segment());
            }
            for (final int segment : touched) {
                files.get(segment).force(false);
            }
            return true;
        } catch (final IOException e) {
            return false;
        }
    }
}
