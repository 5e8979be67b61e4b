package spokestall.io;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DataDirectoryTest {
    @Test
    void rejectsADirectoryOfAnotherOwnerWithoutChangingIt(@TempDir final Path folder) throws Exception {
        final Path own = folder.resolve("own");
        assertThat(DataDirectory.open(own, "d1-core")).isInstanceOf(OpenResult.Opened.class);
        final String kept = Files.readString(own.resolve("owner"));
        final Path other = folder.resolve("other");
        Files.createDirectories(other);
        Files.writeString(other.resolve("owner"), kept.replace("d1-core", "d2-core"));
        assertThat(refusal(other)).contains("d2-core");
        final Path newer = folder.resolve("newer");
        Files.createDirectories(newer);
        Files.writeString(newer.resolve("owner"), kept.replace("format=1", "format=2"));
        assertThat(refusal(newer)).contains("format=2");
        assertThat(Files.readString(newer.resolve("owner"))).contains("format=2");
        final Path stray = folder.resolve("stray");
        Files.createDirectories(stray.resolve("ring"));
        assertThat(refusal(stray)).contains("no owner");
        assertThat(stray.resolve("owner")).doesNotExist();
    }

    private static String refusal(final Path directory) throws Exception {
        return ((OpenResult.Refused) DataDirectory.open(directory, "d1-core")).reason();
    }
}
