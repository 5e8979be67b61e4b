package spokestall.io;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.jwk.ECKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.text.ParseException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import spokestall.audit.AuditChain;
import spokestall.audit.AuditSink;
import spokestall.storage.DirectorySync;

/**
 * A core's audit on disk: files {@code audit-00000001.jws}, ... of bounded size and number, of which the oldest is deleted first,
 * beside the keys of {@link AuditKeys}. Each line is one signed entry of an {@link AuditChain}.
 *
 * <p>Entries are written and synced one by one, after {@link #append} has returned, so nothing waits for the audit. Entries that
 * can't be written, or that arrive while too many are queued, are dropped and counted; the next entry that can be written is
 * preceded by a {@code gap} entry with their number. A torn last line is cut off at the next start, and its length is part of that
 * start's {@code start} entry.
 *
 * <p>Threading: {@link #append} and {@link #newest} from any thread; all else on the writer, which runs one task at a time in
 * their order. {@link #open} blocks its caller.
 */
public final class AuditFiles implements AuditSink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The position of the number in a file name. */
    private static final int NUMBER_FROM = 6;

    private static final int NUMBER_TO = 14;
    /** Entries queued for the writer. */
    private static final int MAX_QUEUED = 1024;
    /** Lines kept in memory for operators. */
    private static final int MAX_NEWEST = 512;

    private final Path directory;
    private final String node;
    private final int maxFiles;
    private final int maxFileBytes;
    private final Executor writer;
    private final ECKey key;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();
    private final ArrayDeque<String> newest = new ArrayDeque<>();
    private AuditChain chain;
    /** The last line written, which the chain continues; null if there is none. */
    private String lastLine;

    private FileChannel file;
    private long fileNumber;

    private AuditFiles(
            final Path directory,
            final String node,
            final int maxFiles,
            final int maxFileBytes,
            final Executor writer,
            final ECKey key) {
        this.directory = directory;
        this.node = node;
        this.maxFiles = maxFiles;
        this.maxFileBytes = maxFileBytes;
        this.writer = writer;
        this.key = key;
    }

    /**
     * Opens the directory's audit, or creates one, and adds a {@code start} entry.
     *
     * @param node the node's name
     * @param maxFiles the number of files that are kept
     * @param maxFileBytes size from which on a new file is started
     * @throws IOException if files can't be read or written, or hold no audit that can be continued
     */
    public static AuditFiles open(
            final Path directory, final String node, final int maxFiles, final int maxFileBytes, final Executor writer)
            throws IOException {
        Files.createDirectories(directory);
        try {
            final AuditFiles audit = new AuditFiles(
                    directory, node, maxFiles, maxFileBytes, writer, AuditKeys.loadOrGenerate(directory, node));
            audit.resume();
            return audit;
        } catch (final JOSEException | ParseException e) {
            throw new IOException("can't continue the audit in " + directory + ": " + e.getMessage(), e);
        }
    }

    /** Returns a directory's audit files, the oldest first. */
    public static List<Path> files(final Path directory) throws IOException {
        try (Stream<Path> all = Files.list(directory)) {
            return all.filter(path -> path.getFileName().toString().matches("audit-\\d{8}\\.jws"))
                    .sorted()
                    .toList();
        }
    }

    private Path path(final long number) {
        return directory.resolve(String.format("audit-%08d.jws", number));
    }

    private void resume() throws IOException, JOSEException, ParseException {
        final List<Path> files = files(directory);
        long torn = 0;
        for (final Path path : files) {
            final String text = Files.readString(path, StandardCharsets.US_ASCII);
            final int completeEnd = text.lastIndexOf('\n') + 1;
            if (completeEnd < text.length()) {
                torn += text.length() - completeEnd;
                try (FileChannel cut = FileChannel.open(path, StandardOpenOption.WRITE)) {
                    cut.truncate(completeEnd);
                }
            }
            if (completeEnd > 0) {
                final String complete = text.substring(0, completeEnd - 1);
                lastLine = complete.substring(complete.lastIndexOf('\n') + 1);
            }
        }
        fileNumber = files.isEmpty()
                ? 1
                : Long.parseLong(
                        files.get(files.size() - 1).getFileName().toString().substring(NUMBER_FROM, NUMBER_TO));
        chain = new AuditChain(key, lastLine);
        openCurrentFile();
        append("start", JSON.createObjectNode().put("node", node).put("tornBytes", torn));
    }

    private void openCurrentFile() throws IOException {
        file = FileChannel.open(path(fileNumber), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        DirectorySync.sync(directory);
    }

    @Override
    public void append(final String kind, final ObjectNode entry) {
        if (queued.get() >= MAX_QUEUED) {
            dropped.incrementAndGet();
            return;
        }
        queued.incrementAndGet();
        writer.execute(() -> {
            queued.decrementAndGet();
            write(kind, entry);
        });
    }

    private void write(final String kind, final ObjectNode entry) {
        try {
            if (dropped.get() > 0) {
                final int gap = dropped.get();
                writeEntry("gap", JSON.createObjectNode().put("dropped", gap));
                dropped.addAndGet(-gap);
                LOG.atInfo().log("event=audit_resumed node=%s dropped=%s", node, gap);
            }
            writeEntry(kind, entry);
        } catch (final IOException | JOSEException | ParseException e) {
            if (dropped.getAndIncrement() == 0) {
                LOG.atWarning().log("event=audit_write_failed node=%s reason=\"%s\"", node, e.getMessage());
            }
        }
    }

    private void writeEntry(final String kind, final ObjectNode entry)
            throws IOException, JOSEException, ParseException {
        if (file.size() >= maxFileBytes) {
            file.close();
            fileNumber++;
            openCurrentFile();
            final List<Path> all = files(directory);
            for (final Path old : all.subList(0, Math.max(0, all.size() - maxFiles))) {
                Files.delete(old);
            }
        }
        final long endOffset = file.size();
        final String line = chain.append(kind, entry);
        try {
            writeLine(line);
        } catch (final IOException e) {
            // The entry gets no number in the chain, and the part of its line that was written is removed.
            chain = new AuditChain(key, lastLine);
            file.truncate(endOffset);
            throw e;
        }
        lastLine = line;
        synchronized (newest) {
            newest.addLast(line);
            if (newest.size() > MAX_NEWEST) {
                newest.removeFirst();
            }
        }
    }

    private void writeLine(final String line) throws IOException {
        final ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.US_ASCII));
        while (bytes.hasRemaining()) {
            file.write(bytes);
        }
        file.force(false);
    }

    /** Replaces the current file, so that tests can make writes fail. */
    void replaceFile(final FileChannel replacement) {
        file = replacement;
    }

    @Override
    public ObjectNode newest(final int limit) {
        final ObjectNode out = JSON.createObjectNode().put("dropped", dropped.get());
        try {
            out.set("key", JSON.readTree(key.toPublicJWK().toJSONString()));
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
        synchronized (newest) {
            final List<String> lines = new ArrayList<>(newest);
            lines.subList(Math.max(0, lines.size() - limit), lines.size()).forEach(out.putArray("entries")::add);
        }
        return out;
    }
}
