import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(final Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(final String text) {
        out.printf("%8d  %s%n", nowMs(), text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
