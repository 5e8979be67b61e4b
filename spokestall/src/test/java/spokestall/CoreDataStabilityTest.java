package spokestall;

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
import spokestall.audit.Chain;
import spokestall.ballot.Ballot;
import spokestall.ballot.Register;
import spokestall.ballot.StoredRecords;
import spokestall.ballot.Voter;
import spokestall.duty.Lease;
import spokestall.duty.Sealed;
import spokestall.duty.UsageNote;
import spokestall.edge.Claim;
import spokestall.listing.ListingNote;
import spokestall.policy.AcceptedOrder;
import spokestall.policy.Book;
import spokestall.policy.Change;
import spokestall.policy.Snapshot;
import spokestall.rim.AuditFiles;
import spokestall.rim.DataFolder;
import spokestall.ring.FileSegments;
import spokestall.ring.MemorySegments;
import spokestall.wire.Codec;
import spokestall.wire.RestoredNumbers;

/**
 * A core's data folder as it was written once and is kept as a test resource: the present program finds in it what was put
 * there, and writes the same bytes where nothing is by chance. The audit's key and signatures are, so the audit is only read
 * and gone on with. The key in the resource signs nothing else.
 */
@ExtendWith(RestoredNumbers.class)
class CoreDataStabilityTest {
    private static final Path RESOURCE = Path.of("src", "test", "resources", "golden", "data");

    @TempDir
    private Path folder;

    @BeforeEach
    void copyTheFolder() throws IOException {
        try (Stream<Path> all = Files.walk(RESOURCE)) {
            for (final Path from : all.filter(Files::isRegularFile).toList()) {
                final Path to = folder.resolve(RESOURCE.relativize(from).toString());
                Files.createDirectories(to.getParent());
                Files.copy(from, to);
            }
        }
    }

    private Voter voter() throws IOException {
        return SampleCore.open(
                FileSegments.open(
                        folder.resolve("ring"),
                        SampleCore.SEGMENTS,
                        SampleCore.SEGMENT_BYTES,
                        Runnable::run,
                        Runnable::run),
                "unused");
    }

    @Test
    void theFolderBelongsToItsNode(@TempDir final Path fresh) throws Exception {
        assertThat(DataFolder.open(folder, "d1-core")).isNull();
        assertThat(DataFolder.open(fresh.resolve("data"), "d1-core")).isNull();
        assertThat(fresh.resolve("data").resolve("owner")).hasSameBinaryContentAs(RESOURCE.resolve("owner"));
    }

    @Test
    void theRingIsWrittenAsTheLiteralBytes() throws Exception {
        final MemorySegments segments = new MemorySegments(SampleCore.SEGMENTS, SampleCore.SEGMENT_BYTES);
        SampleCore.run(segments);
        for (int i = 0; i < SampleCore.SEGMENTS; i++) {
            assertThat(segments.read(i))
                    .as("segment " + i)
                    .isEqualTo(Files.readAllBytes(RESOURCE.resolve("ring").resolve("segment-" + i)));
        }
    }

    @Test
    void theVoterIsWhatItWas() throws Exception {
        final Voter voter = voter();
        assertThat(voter.openedBlank()).isFalse();
        assertThat(voter.state()).isEqualTo(Voter.State.VOTING);
        assertThat(voter.diskId()).isEqualTo("d1-core/1f");
        assertThat(voter.voters()).isEqualTo(SampleCore.TABLE);
        assertThat(voter.floor()).isEqualTo(7_340_032);
        assertThat(voter.registers())
                .containsOnlyKeys(
                        "duty/floor",
                        "duty/usage_report",
                        "once/tenant-1/pay-17",
                        "once/tenant-1/pay-18",
                        "policy/0000000000007340033",
                        "usage/0000000000000000345");
    }

    @Test
    void registersHaveTheirRanksAndValues() throws Exception {
        final Map<String, Register> registers = voter().registers();
        final Register lease = registers.get("duty/usage_report");
        assertThat(lease.promised()).isEqualTo(new Ballot(10, "d3-core/b2"));
        assertThat(lease.accepted()).isEqualTo(new Ballot(9, "d3-core/b2"));
        assertThat(Codec.record(lease.value(), Lease.class)).isEqualTo(SampleCore.LEASE);
        assertThat(Codec.record(registers.get("usage/0000000000000000345").value(), Sealed.class))
                .isEqualTo(SampleCore.WINDOW);
        assertThat(Codec.record(registers.get("once/tenant-1/pay-17").value(), Claim.class))
                .isEqualTo(SampleCore.CLAIM);
        assertThat(registers.get("duty/floor").value()).asString().isEqualTo("12345");
        final Register promised = registers.get("once/tenant-1/pay-18");
        assertThat(promised.promised()).isEqualTo(new Ballot(3, "d2-core/a1"));
        assertThat(promised.accepted()).isEqualTo(Ballot.NONE);
        assertThat(promised.value()).isNull();
    }

    @Test
    void theConfigurationIsReadFromTheSnapshotAndTheChange() throws Exception {
        final Voter voter = voter();
        final Snapshot snapshot = Codec.record(voter.own("~policy"), Snapshot.class);
        assertThat(snapshot.orders())
                .containsExactly(
                        new AcceptedOrder("founding-7", 7_340_032, 1_000),
                        new AcceptedOrder("chg-2", 7_340_033, 2_000));
        final Book book = new Book(16);
        assertThat(book.load(snapshot)).isTrue();
        assertThat(book.policy().version()).isEqualTo(7_340_033);
        assertThat(book.policy().holds()).containsExactly("d2");
        final Change change =
                Codec.record(voter.registers().get("policy/0000000000007340033").value(), Change.class);
        assertThat(change.changeId()).isEqualTo("chg-2");
        assertThat(change.kind()).isEqualTo(Change.Kind.PATCH);
        assertThat(change.json()).asString().isEqualTo("{\"holds\":{\"d2\":{}}}");
        assertThat(change.acceptedMs()).isEqualTo(2_000);
    }

    @Test
    void aCoresOwnRecordsAreRead() throws Exception {
        Notes.number();
        final Voter voter = voter();
        assertThat(voter.own("~council")).isEmpty();
        assertThat(Codec.record(voter.own("~form"), StoredRecords.formationBallot()))
                .isEqualTo(StoredRecords.formationBallot(6, SampleCore.CAST));
        assertThat(Codec.note(voter.own("~usage")))
                .isEqualTo(new UsageNote.Counts("10.0.0.1:7000", 0, List.of(SampleCore.COUNT)));
        assertThat(Codec.note(voter.own("~listed")))
                .isEqualTo(new ListingNote.Push(List.of(SampleCore.LISTED), List.of(), 0));
    }

    private List<String> auditLines() throws IOException {
        final List<String> lines = new ArrayList<>();
        for (final Path file : AuditFiles.files(folder.resolve("audit"))) {
            lines.addAll(Files.readAllLines(file, StandardCharsets.US_ASCII));
        }
        return lines;
    }

    private ECKey publicKey() throws Exception {
        return ECKey.parse(Files.readString(folder.resolve("audit").resolve("public.jwk")));
    }

    @Test
    void theAuditVerifiesAndIsGoneOnWith() throws Exception {
        assertThat(AuditFiles.files(folder.resolve("audit"))).hasSize(2);
        assertThat(Chain.check(publicKey(), auditLines(), true)).isEqualTo(new Chain.Verdict.Good(1, 10, 10));
        final String audit = folder.resolve("audit").toString();
        final String key = folder.resolve("audit").resolve("public.jwk").toString();
        assertThat(AuditCheck.run(new String[] {"--check", audit, "--key", key}))
                .isZero();
        AuditFiles.open(folder.resolve("audit"), "d1-core", 8, 1 << 20, Runnable::run);
        assertThat(Chain.check(publicKey(), auditLines(), true)).isEqualTo(new Chain.Verdict.Good(1, 11, 11));
    }

    @Test
    void theAuditIsWrittenNowWithTheSameEntries(@TempDir final Path fresh) throws Exception {
        final List<String> before = entries(auditLines());
        SampleCore.tell(AuditFiles.open(fresh.resolve("audit"), "d1-core", 8, 1 << 20, Runnable::run));
        final List<String> now =
                Files.readAllLines(AuditFiles.files(fresh.resolve("audit")).get(0));
        assertThat(entries(now)).isEqualTo(before);
        assertThat(before.get(0))
                .isEqualTo("spokestall-audit ES256 {\"n\":1,\"before\":\"\",\"kind\":\"start\",\"node\":\"d1-core\""
                        + ",\"tornBytes\":0}");
    }

    /** What the lines say, but for the digest of the line before, which has a signature in it. */
    private static List<String> entries(final List<String> lines) throws Exception {
        final List<String> entries = new ArrayList<>();
        for (final String line : lines) {
            final JWSObject entry = JWSObject.parse(line);
            final String said = entry.getPayload().toString().replaceFirst("\"before\":\"[^\"]+\"", "\"before\":\"*\"");
            entries.add(entry.getHeader().getType() + " " + entry.getHeader().getAlgorithm() + " " + said);
        }
        return entries;
    }
}
