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

    /** A ring that has gone on to its fourth file. */
    private void write() throws IOException {
        final SegmentedLog segmentedLog = open();
        for (int i = 0; i < 200; i++) {
            segmentedLog.put(
                    "key-" + i % 20, new byte[1000], ok -> assertThat(ok).isTrue());
        }
    }

    @Test
    void whatWasWrittenIsThereAgain() throws IOException {
        write();
        assertThat(open().table()).hasSize(20);
    }

    @Test
    void aLostFileMakesTheLogBlankWhicheverItIs() throws IOException {
        for (int segment = 0; segment < FILES; segment++) {
            write();
            Files.delete(file(segment));
            assertThat(open().blank()).as("without file %s", segment).isTrue();
        }
    }

    @Test
    void aFileThatWasCutShortMakesTheLogBlank() throws IOException {
        for (int segment = 0; segment < FILES; segment++) {
            write();
            try (RandomAccessFile cut = new RandomAccessFile(file(segment).toFile(), "rw")) {
                cut.setLength(SIZE / 3);
            }
            assertThat(open().blank()).as("file %s cut short", segment).isTrue();
        }
    }

    @Test
    void aFirstStartThatWasCutShortIsGoneOnWith() throws IOException {
        open();
        Files.delete(file(3));
        try (RandomAccessFile cut = new RandomAccessFile(file(5).toFile(), "rw")) {
            cut.setLength(SIZE / 3);
        }
        write();
        assertThat(open().table()).hasSize(20);
    }

    @Test
    void aLossThatWasBeingClearedWhenThePowerWentIsStillSeen() throws IOException {
        write();
        Files.delete(file(3));
        // Cleared this far, and nothing made anew yet.
        Files.write(file(0), new byte[SIZE]);
        assertThat(open().blank()).isTrue();
        write();
        assertThat(open().table()).hasSize(20);
    }

    @Test
    void filesThatGrowKeepWhatTheyHave() throws IOException {
        write();
        final SegmentStore larger =
                FileSegmentStore.open(data.resolve("ring"), FILES, 2 * SIZE, Runnable::run, Runnable::run);
        assertThat(new SegmentedLog(larger).table()).hasSize(20);
    }
}
