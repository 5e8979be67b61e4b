package spokestall.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileSegmentStoreTest {
    private static final int FILES = 8;
    private static final int SIZE = 1 << 16;

    @TempDir
    Path data;

    private SegmentedLog open() throws IOException {
        return new SegmentedLog(FileSegmentStore.open(data.resolve("ring"), FILES, SIZE, Runnable::run, Runnable::run));
    }

    private Path file(final int segment) {
        return data.resolve("ring").resolve("segment-" + segment);
    }

    /** Writes enough records to reach the fourth segment. */
    private void write() throws IOException {
        final SegmentedLog log = open();
        for (int i = 0; i < 200; i++) {
            log.put("key-" + i % 20, new byte[1000], ok -> assertThat(ok).isTrue());
        }
    }

    @Test
    void writtenRecordsAreRecoveredAfterReopening() throws IOException {
        write();
        assertThat(open().table()).hasSize(20);
    }

    @Test
    void losingAnyFileMakesTheLogBlank() throws IOException {
        for (int segment = 0; segment < FILES; segment++) {
            write();
            Files.delete(file(segment));
            assertThat(open().blank()).as("without file %s", segment).isTrue();
        }
    }

    @Test
    void truncatingAnyFileMakesTheLogBlank() throws IOException {
        for (int segment = 0; segment < FILES; segment++) {
            write();
            try (RandomAccessFile cut = new RandomAccessFile(file(segment).toFile(), "rw")) {
                cut.setLength(SIZE / 3);
            }
            assertThat(open().blank()).as("file %s cut short", segment).isTrue();
        }
    }

    @Test
    void completesAnInterruptedFirstStart() throws IOException {
        open();
        Files.delete(file(3));
        try (RandomAccessFile cut = new RandomAccessFile(file(5).toFile(), "rw")) {
            cut.setLength(SIZE / 3);
        }
        write();
        assertThat(open().table()).hasSize(20);
    }

    @Test
    void detectsALostFileAfterZeroingWasInterrupted() throws IOException {
        write();
        Files.delete(file(3));
        // The zeroing was interrupted after the first file; the lost file is not recreated yet.
        Files.write(file(0), new byte[SIZE]);
        assertThat(open().blank()).isTrue();
        write();
        assertThat(open().table()).hasSize(20);
    }

    @Test
    void recordsSurviveEnlargingTheFiles() throws IOException {
        write();
        final SegmentStore larger =
                FileSegmentStore.open(data.resolve("ring"), FILES, 2 * SIZE, Runnable::run, Runnable::run);
        assertThat(new SegmentedLog(larger).table()).hasSize(20);
    }
}
