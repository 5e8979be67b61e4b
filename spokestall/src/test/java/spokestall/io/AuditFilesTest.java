package spokestall.io;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.nimbusds.jose.jwk.ECKey;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.audit.AuditChain;

class AuditFilesTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static AuditFiles open(final Path folder, final int maxFiles) throws Exception {
        return AuditFiles.open(folder, "d1-core", maxFiles, 2000, Runnable::run);
    }

    private static void fill(final AuditFiles audit, final int from, final int until) {
        for (int i = from; i < until; i++) {
            audit.append("policy", JSON.createObjectNode().put("version", i));
        }
    }

    private static List<String> lines(final Path folder) throws Exception {
        final List<String> all = new ArrayList<>();
        for (final Path path : AuditFiles.files(folder)) {
            all.addAll(Files.readAllLines(path));
        }
        return all;
    }

    private static ECKey key(final Path folder) throws Exception {
        return ECKey.parse(Files.readString(folder.resolve("public.jwk")));
    }

    @Test
    void detectsAnyTamperingWithTheChain(@TempDir final Path folder) throws Exception {
        fill(open(folder, 100), 0, 20);
        fill(open(folder, 100), 20, 40);
        final List<String> good = lines(folder);
        assertThat(AuditChain.check(key(folder), good, true)).isEqualTo(new AuditChain.Verdict.Good(1, 42, 42));
        final Random random = new Random(2);
        for (int i = 0; i < 300; i++) {
            final List<String> bad = new ArrayList<>(good);
            final int at = 1 + random.nextInt(bad.size() - 2);
            switch (random.nextInt(4)) {
                case 0 -> bad.remove(at);
                case 1 -> Collections.swap(bad, at, at + 1);
                case 2 -> bad.add(at, bad.get(random.nextInt(bad.size())));
                default -> {
                    final char[] line = bad.get(at).toCharArray();
                    // The last character of a base64url part may contain unused bits.
                    final int c = random.nextInt(line.length - 1);
                    line[c] = line[c] == 'A' ? 'B' : 'A';
                    bad.set(at, new String(line));
                }
            }
            if (!bad.equals(good)) {
                assertThat(AuditChain.check(key(folder), bad, true))
                        .as("try " + i)
                        .isInstanceOf(AuditChain.Verdict.Bad.class);
            }
        }
        assertThat(AuditChain.check(key(folder), good, false)).isEqualTo(new AuditChain.Verdict.Torn(1, 41, 41));
    }

    @Test
    void limitsFilesAndTruncatesAndReportsATornTail(@TempDir final Path folder) throws Exception {
        fill(open(folder, 3), 0, 60);
        assertThat(AuditFiles.files(folder)).hasSize(3);
        final List<Path> files = AuditFiles.files(folder);
        Files.writeString(files.get(files.size() - 1), "eyJ0b3Ju", StandardOpenOption.APPEND);
        fill(open(folder, 3), 60, 61);
        final List<String> after = lines(folder);
        assertThat(AuditChain.check(key(folder), after, true)).isInstanceOf(AuditChain.Verdict.Good.class);
        final String start = new String(
                java.util.Base64.getUrlDecoder()
                        .decode(after.get(after.size() - 2).split("\\.")[1]),
                StandardCharsets.UTF_8);
        assertThat(start).contains("\"kind\":\"start\"").contains("\"tornBytes\":8");
    }

    @Test
    void dropsEntriesOnAFullDiskWithoutBreakingTheChain(@TempDir final Path folder) throws Exception {
        final AuditFiles audit = open(folder, 100);
        fill(audit, 0, 3);
        final FileChannel good = FileChannel.open(AuditFiles.files(folder).get(0), StandardOpenOption.APPEND);
        try (FileChannel full = FileChannel.open(Path.of("/dev/full"), StandardOpenOption.WRITE)) {
            audit.replaceFile(full);
            fill(audit, 3, 8);
            assertThat(audit.newest(1).path("dropped").asInt()).isEqualTo(5);
        }
        audit.replaceFile(good);
        fill(audit, 8, 9);
        assertThat(audit.newest(1).path("dropped").asInt()).isZero();
        final List<String> lines = lines(folder);
        assertThat(AuditChain.check(key(folder), lines, true)).isEqualTo(new AuditChain.Verdict.Good(1, 6, 6));
    }
}
