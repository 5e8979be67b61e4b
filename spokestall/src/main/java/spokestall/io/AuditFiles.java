package spokestall.io;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
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
 * A core's audit on disk: a few files of bounded size, the oldest going first, beside the key that signs them and the one
 * that checks them. It is written by a thread of its own; what can't be written is counted and said in the next entry that can.
 */
public final class AuditFiles implements AuditSink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int WAITING_MAX = 1024;
    private static final int NEWEST_KEPT = 512;
    private final Path folder;
    private final String node;
    private final int filesMax;
    private final int fileBytes;
    private final Executor writer;
    private final ECKey key;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();
    private final ArrayDeque<String> newest = new ArrayDeque<>();
    private AuditChain chain;
    private String lastLine;
    private FileChannel file;
    private long number;

    private AuditFiles(
            final Path folder,
            final String node,
            final int filesMax,
            final int fileBytes,
            final Executor writer,
            final ECKey key) {
        this.folder = folder;
        this.node = node;
        this.filesMax = filesMax;
        this.fileBytes = fileBytes;
        this.writer = writer;
        this.key = key;
    }

    /** Goes on where the folder's newest file ends; a line that was cut off there is taken away, and that is said. */
    public static AuditFiles open(
            final Path folder, final String node, final int filesMax, final int fileBytes, final Executor writer)
            throws IOException {
        Files.createDirectories(folder);
        try {
            final AuditFiles made = new AuditFiles(folder, node, filesMax, fileBytes, writer, key(folder, node));
            made.resume();
            return made;
        } catch (final JOSEException | ParseException e) {
            throw new IOException("the audit in " + folder + " can't be gone on with: " + e.getMessage(), e);
        }
    }

    private static ECKey key(final Path folder, final String node) throws IOException, JOSEException, ParseException {
        final Path own = folder.resolve("key.jwk");
        if (Files.exists(own)) {
            return ECKey.parse(Files.readString(own));
        }
        final ECKey made = new ECKeyGenerator(Curve.P_256)
                .keyID(node + "/" + Long.toHexString(System.currentTimeMillis()))
                .generate();
        final Path fresh = Files.createTempFile(
                folder,
                "key",
                ".new",
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        put(fresh, made.toJSONString());
        put(folder.resolve("public.jwk"), made.toPublicJWK().toJSONString());
        Files.move(fresh, own, StandardCopyOption.ATOMIC_MOVE);
        DirectorySync.sync(folder);
        DirectorySync.sync(folder.toAbsolutePath().getParent());
        return made;
    }

    private static void put(final Path path, final String text) throws IOException {
        try (FileChannel out = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            out.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
            out.force(true);
        }
    }

    /** The files in their order. */
    public static List<Path> files(final Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(p -> p.getFileName().toString().matches("audit-\\d{8}\\.jws"))
                    .sorted()
                    .toList();
        }
    }

    private Path path(final long n) {
        return folder.resolve(String.format("audit-%08d.jws", n));
    }

    private void resume() throws IOException, JOSEException, ParseException {
        final List<Path> files = files(folder);
        long torn = 0;
        for (final Path path : files) {
            final String text = Files.readString(path, StandardCharsets.US_ASCII);
            final int end = text.lastIndexOf('\n') + 1;
            if (end < text.length()) {
                torn += text.length() - end;
                try (FileChannel cut = FileChannel.open(path, StandardOpenOption.WRITE)) {
                    cut.truncate(end);
                }
            }
            if (end > 0) {
                final String whole = text.substring(0, end - 1);
                lastLine = whole.substring(whole.lastIndexOf('\n') + 1);
            }
        }
        number = files.isEmpty()
                ? 1
                : Long.parseLong(
                        files.get(files.size() - 1).getFileName().toString().substring(6, 14));
        chain = new AuditChain(key, lastLine);
        append();
        append("start", JSON.createObjectNode().put("node", node).put("tornBytes", torn));
    }

    private void append() throws IOException {
        file = FileChannel.open(path(number), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        DirectorySync.sync(folder);
    }

    @Override
    public void append(final String kind, final ObjectNode what) {
        if (waiting.get() >= WAITING_MAX) {
            dropped.incrementAndGet();
            return;
        }
        waiting.incrementAndGet();
        writer.execute(() -> {
            waiting.decrementAndGet();
            write(kind, what);
        });
    }

    private void write(final String kind, final ObjectNode what) {
        try {
            if (dropped.get() > 0) {
                final int gap = dropped.get();
                down("gap", JSON.createObjectNode().put("dropped", gap));
                dropped.addAndGet(-gap);
                LOG.atInfo().log("event=audit_again node=%s dropped=%s", node, gap);
            }
            down(kind, what);
        } catch (final IOException | JOSEException | ParseException e) {
            if (dropped.getAndIncrement() == 0) {
                LOG.atWarning().log("event=audit_trouble node=%s why=\"%s\"", node, e.getMessage());
            }
        }
    }

    private void down(final String kind, final ObjectNode what) throws IOException, JOSEException, ParseException {
        if (file.size() >= fileBytes) {
            file.close();
            number++;
            append();
            final List<Path> all = files(folder);
            for (final Path old : all.subList(0, Math.max(0, all.size() - filesMax))) {
                Files.delete(old);
            }
        }
        final long at = file.size();
        final String line = chain.append(kind, what);
        try {
            put(line);
        } catch (final IOException e) {
            chain = new AuditChain(key, lastLine);
            file.truncate(at);
            throw e;
        }
        lastLine = line;
        synchronized (newest) {
            newest.addLast(line);
            if (newest.size() > NEWEST_KEPT) {
                newest.removeFirst();
            }
        }
    }

    private void put(final String line) throws IOException {
        final ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.US_ASCII));
        while (bytes.hasRemaining()) {
            file.write(bytes);
        }
        file.force(false);
    }

    /** Stands in for a disk that takes nothing more, in tests. */
    void fail(final FileChannel other) {
        file = other;
    }

    @Override
    public ObjectNode newest(final int most) {
        final ObjectNode out = JSON.createObjectNode().put("dropped", dropped.get());
        try {
            out.set("key", JSON.readTree(key.toPublicJWK().toJSONString()));
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
        synchronized (newest) {
            final List<String> lines = new ArrayList<>(newest);
            lines.subList(Math.max(0, lines.size() - most), lines.size()).forEach(out.putArray("entries")::add);
        }
        return out;
    }
}
