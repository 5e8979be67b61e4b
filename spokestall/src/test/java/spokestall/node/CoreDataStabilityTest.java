package spokestall.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.nimbusds.jose.JWSObject;
import com.nimbusds.jose.jwk.ECKey;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import spokestall.audit.AuditChain;
import spokestall.cli.AuditVerifier;
import spokestall.configuration.CommittedChange;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Register;
import spokestall.discovery.DiscoveryMessage;
import spokestall.io.AuditFiles;
import spokestall.io.DataDirectory;
import spokestall.io.OpenResult;
import spokestall.lease.Lease;
import spokestall.membership.StoredRecords;
import spokestall.message.MessageCodec;
import spokestall.message.RestoreMessageNumbersExtension;
import spokestall.proxy.IdempotencyClaim;
import spokestall.storage.FileSegmentStore;
import spokestall.storage.InMemorySegmentStore;
import spokestall.usage.SealedWindow;
import spokestall.usage.UsageMessage;

/**
 * Guards the stored format of a core's data directory against a golden copy in the test resources: the current program
 * reads the expected state from the copy, and writes the same bytes wherever its output is deterministic. The audit
 * log's key and signatures are random, so the tests only read the golden audit log and append to it. The key in the
 * resource signs nothing else.
 */
@ExtendWith(RestoreMessageNumbersExtension.class)
class CoreDataStabilityTest {
    private static final Path RESOURCE = Path.of("src", "test", "resources", "golden", "data");

    @TempDir
    private Path dataDirectory;

    @BeforeEach
    void copyDataDirectory() throws IOException {
        try (Stream<Path> all = Files.walk(RESOURCE)) {
            for (final Path from : all.filter(Files::isRegularFile).toList()) {
                final Path to = dataDirectory.resolve(RESOURCE.relativize(from).toString());
                Files.createDirectories(to.getParent());
                Files.copy(from, to);
            }
        }
    }

    private Acceptor acceptor() throws IOException {
        return SampleCore.open(
                FileSegmentStore.open(
                        dataDirectory.resolve("ring"),
                        SampleCore.SEGMENTS,
                        SampleCore.SEGMENT_BYTES,
                        Runnable::run,
                        Runnable::run),
                "unused");
    }

    @Test
    void ownerFileFormatIsStable(@TempDir final Path fresh) throws Exception {
        assertThat(DataDirectory.open(dataDirectory, "d1-core")).isInstanceOf(OpenResult.Opened.class);
        assertThat(DataDirectory.open(fresh.resolve("data"), "d1-core")).isInstanceOf(OpenResult.Opened.class);
        assertThat(fresh.resolve("data").resolve("owner")).hasSameBinaryContentAs(RESOURCE.resolve("owner"));
    }

    @Test
    void logIsWrittenWithGoldenBytes() throws Exception {
        final InMemorySegmentStore segments = new InMemorySegmentStore(SampleCore.SEGMENTS, SampleCore.SEGMENT_BYTES);
        SampleCore.run(segments);
        for (int i = 0; i < SampleCore.SEGMENTS; i++) {
            assertThat(segments.read(i))
                    .as("segment " + i)
                    .isEqualTo(Files.readAllBytes(RESOURCE.resolve("ring").resolve("segment-" + i)));
        }
    }

    @Test
    void acceptorStateIsRestored() throws Exception {
        final Acceptor acceptor = acceptor();
        assertThat(acceptor.openedBlank()).isFalse();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(acceptor.diskId()).isEqualTo("d1-core/1f");
        assertThat(acceptor.voterSet()).isEqualTo(SampleCore.VOTER_SET);
        assertThat(acceptor.versionFloor()).isEqualTo(7_340_032);
        assertThat(acceptor.registers())
                .containsOnlyKeys(
                        "duty/floor",
                        "duty/usage_report",
                        "once/tenant-1/pay-17",
                        "once/tenant-1/pay-18",
                        "policy/0000000000007340033",
                        "usage/0000000000000000345");
    }

    @Test
    void registersKeepProposalNumbersAndValues() throws Exception {
        final Map<String, Register> registers = acceptor().registers();
        final Register lease = registers.get("duty/usage_report");
        assertThat(lease.promised()).isEqualTo(new ProposalNumber(10, "d3-core/b2"));
        assertThat(lease.accepted()).isEqualTo(new ProposalNumber(9, "d3-core/b2"));
        assertThat(MessageCodec.decodeRecord(lease.value(), Lease.class)).isEqualTo(SampleCore.LEASE);
        assertThat(MessageCodec.decodeRecord(
                        registers.get("usage/0000000000000000345").value(), SealedWindow.class))
                .isEqualTo(SampleCore.WINDOW);
        assertThat(MessageCodec.decodeRecord(
                        registers.get("once/tenant-1/pay-17").value(), IdempotencyClaim.class))
                .isEqualTo(SampleCore.CLAIM);
        assertThat(registers.get("duty/floor").value()).asString().isEqualTo("12345");
        final Register promised = registers.get("once/tenant-1/pay-18");
        assertThat(promised.promised()).isEqualTo(new ProposalNumber(3, "d2-core/a1"));
        assertThat(promised.accepted()).isEqualTo(ProposalNumber.NONE);
        assertThat(promised.value()).isNull();
    }

    @Test
    void configurationIsReadFromSnapshotAndChange() throws Exception {
        final Acceptor acceptor = acceptor();
        final ConfigurationSnapshot snapshot =
                MessageCodec.decodeRecord(acceptor.localRecord("~policy"), ConfigurationSnapshot.class);
        assertThat(snapshot.committedChanges())
                .containsExactly(
                        new CommittedChange("founding-7", 7_340_032, 1_000),
                        new CommittedChange("chg-2", 7_340_033, 2_000));
        final ConfigurationStore configurationStore = new ConfigurationStore(16);
        assertThat(configurationStore.load(snapshot)).isTrue();
        assertThat(configurationStore.configuration().version()).isEqualTo(7_340_033);
        assertThat(configurationStore.configuration().drainedZones()).containsExactly("d2");
        final ConfigurationChange change = MessageCodec.decodeRecord(
                acceptor.registers().get("policy/0000000000007340033").value(), ConfigurationChange.class);
        assertThat(change.changeId()).isEqualTo("chg-2");
        assertThat(change.kind()).isEqualTo(ConfigurationChange.Kind.PATCH);
        assertThat(change.json()).asString().isEqualTo("{\"holds\":{\"d2\":{}}}");
        assertThat(change.acceptedMs()).isEqualTo(2_000);
    }

    @Test
    void localRecordsAreRead() throws Exception {
        MessageNumbers.register();
        final Acceptor acceptor = acceptor();
        assertThat(acceptor.localRecord("~council")).isEmpty();
        assertThat(MessageCodec.decodeRecord(acceptor.localRecord("~form"), StoredRecords.generationVote()))
                .isEqualTo(StoredRecords.generationVote(6, SampleCore.PROPOSAL));
        assertThat(MessageCodec.decode(acceptor.localRecord("~usage")))
                .isEqualTo(new UsageMessage.Counts("10.0.0.1:7000", 0, List.of(SampleCore.COUNT)));
        assertThat(MessageCodec.decode(acceptor.localRecord("~listed")))
                .isEqualTo(new DiscoveryMessage.Push(List.of(SampleCore.ENDPOINT), List.of(), 0));
    }

    private List<String> auditLines() throws IOException {
        final List<String> lines = new ArrayList<>();
        for (final Path file : AuditFiles.files(dataDirectory.resolve("audit"))) {
            lines.addAll(Files.readAllLines(file, StandardCharsets.US_ASCII));
        }
        return lines;
    }

    private ECKey publicKey() throws Exception {
        return ECKey.parse(Files.readString(dataDirectory.resolve("audit").resolve("public.jwk")));
    }

    @Test
    void auditVerifiesAndAcceptsFurtherEntries() throws Exception {
        assertThat(AuditFiles.files(dataDirectory.resolve("audit"))).hasSize(2);
        assertThat(AuditChain.check(publicKey(), auditLines(), true)).isEqualTo(new AuditChain.Verdict.Good(1, 10, 10));
        final String audit = dataDirectory.resolve("audit").toString();
        final String key = dataDirectory.resolve("audit").resolve("public.jwk").toString();
        assertThat(AuditVerifier.run(new String[] {"--check", audit, "--key", key}))
                .isZero();
        AuditFiles.open(dataDirectory.resolve("audit"), "d1-core", 8, 1 << 20, Runnable::run);
        assertThat(AuditChain.check(publicKey(), auditLines(), true)).isEqualTo(new AuditChain.Verdict.Good(1, 11, 11));
    }

    @Test
    void newAuditHasTheSameEntries(@TempDir final Path fresh) throws Exception {
        final List<String> golden = entries(auditLines());
        SampleCore.recordAudit(AuditFiles.open(fresh.resolve("audit"), "d1-core", 8, 1 << 20, Runnable::run));
        final List<String> written =
                Files.readAllLines(AuditFiles.files(fresh.resolve("audit")).get(0));
        assertThat(entries(written)).isEqualTo(golden);
        assertThat(golden.get(0))
                .isEqualTo("spokestall-audit ES256 {\"n\":1,\"before\":\"\",\"kind\":\"start\",\"node\":\"d1-core\""
                        + ",\"tornBytes\":0}");
    }

    /**
     * Returns the type, algorithm and payload of each line, with the digest of the previous line masked, because the
     * digest covers a random signature.
     */
    private static List<String> entries(final List<String> lines) throws Exception {
        final List<String> entries = new ArrayList<>();
        for (final String line : lines) {
            final JWSObject entry = JWSObject.parse(line);
            final String payload =
                    entry.getPayload().toString().replaceFirst("\"before\":\"[^\"]+\"", "\"before\":\"*\"");
            entries.add(entry.getHeader().getType() + " " + entry.getHeader().getAlgorithm() + " " + payload);
        }
        return entries;
    }
}
