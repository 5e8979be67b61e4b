package spokestall.ring;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Preallocated files in the data folder. Writes and syncs run on the disk stage, never on the caller's. */
public final class FileSegments implements Segments {
    private final List<FileChannel> files = new ArrayList<>();
    private final int sizeBytes;
    private final Executor disk;
    private final Executor back;

    /** Example: {@code FileSegments.open(Path.of("data/ring"), 8, 4 << 20, diskStage, controlStage)} */
    public static FileSegments open(
            final Path folder, final int count, final int sizeBytes, final Executor disk, final Executor back)
            throws IOException {
        Files.createDirectories(folder);
        final FileSegments made = new FileSegments(sizeBytes, disk, back);
        for (int i = 0; i < count; i++) {
            final Path path = folder.resolve("segment-" + i);
            final FileChannel file = FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
            made.fill(file);
            made.files.add(file);
        }
        try (FileChannel dir = FileChannel.open(folder, StandardOpenOption.READ)) {
            dir.force(true);
        }
        return made;
    }

    private FileSegments(final int sizeBytes, final Executor disk, final Executor back) {
        this.sizeBytes = sizeBytes;
        this.disk = disk;
        this.back = back;
    }

    private void fill(final FileChannel file) throws IOException {
        final ByteBuffer zeros = ByteBuffer.allocate(1 << 16);
        long at = file.size();
        while (at < sizeBytes) {
            zeros.clear().limit((int) Math.min(zeros.capacity(), sizeBytes - at));
            at += file.write(zeros, at);
        }
        file.force(true);
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
    public void commit(final List<Piece> pieces, final Consumer<Boolean> done) {
        disk.execute(() -> {
            final boolean ok = down(pieces);
            back.execute(() -> done.accept(ok));
        });
    }

    private boolean down(final List<Piece> pieces) {
        try {
            final Set<Integer> touched = new LinkedHashSet<>();
            for (final Piece piece : pieces) {
                final ByteBuffer bytes = ByteBuffer.wrap(piece.bytes());
                long at = piece.at();
                while (bytes.hasRemaining()) {
                    at += files.get(piece.segment()).write(bytes, at);
                }
                touched.add(piece.segment());
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
