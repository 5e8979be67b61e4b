package spokestall.io;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.lang.ref.Reference;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two real processes open one data directory. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DataDirectoryLockTest {
    private static final String NODE = "d1-core";
    private static final String READY = "owned";

    /** Opens the directory, collects garbage, says so, and stays until its input ends. */
    static final class Owner {
        private Owner() {}

        public static void main(final String[] arguments) throws Exception {
            final OpenResult opened = DataDirectory.open(Path.of(arguments[0]), NODE);
            try {
                for (int i = 0; i < 10; i++) {
                    System.gc();
                    System.runFinalization();
                }
                System.out.println(opened instanceof OpenResult.Refused refused ? refused.reason() : READY);
                while (System.in.read() >= 0) {
                    // Until the test closes the stream.
                }
            } finally {
                Reference.reachabilityFence(opened);
            }
        }
    }

    @Test
    void twoProcessesNeverOwnOneDirectoryThoughTheFirstCollectsGarbage(@TempDir final Path folder) throws Exception {
        final List<Process> processes = new ArrayList<>();
        try {
            final Process first = start(folder, processes);
            assertThat(first.inputReader(StandardCharsets.UTF_8).readLine()).isEqualTo(READY);
            final Process second = start(folder, processes);
            assertThat(second.inputReader(StandardCharsets.UTF_8).readLine()).contains("in use by another process");
            first.destroyForcibly().waitFor();
            final Process third = start(folder, processes);
            assertThat(third.inputReader(StandardCharsets.UTF_8).readLine()).isEqualTo(READY);
        } finally {
            for (final Process process : processes) {
                assertThat(process.destroyForcibly().waitFor(10, TimeUnit.SECONDS))
                        .isTrue();
            }
        }
    }

    private static Process start(final Path folder, final List<Process> processes) throws Exception {
        final Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Owner.class.getName(),
                        folder.toString())
                .redirectError(new File("/dev/null"))
                .start();
        processes.add(process);
        return process;
    }
}
