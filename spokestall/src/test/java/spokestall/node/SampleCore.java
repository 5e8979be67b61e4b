package spokestall.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import spokestall.audit.AuditSink;
import spokestall.audit.Auditor;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.PermissiveGuard;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Register;
import spokestall.consensus.RegisterGuard;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.discovery.DiscoveryMessage;
import spokestall.discovery.Endpoint;
import spokestall.lease.Lease;
import spokestall.membership.StoredRecords;
import spokestall.message.MessageCodec;
import spokestall.proxy.IdempotencyClaim;
import spokestall.storage.SegmentStore;
import spokestall.storage.SegmentedLog;
import spokestall.usage.SealedWindow;
import spokestall.usage.UsageMessage;

/**
 * The deterministic disk contents of a core after a short run: the core votes, writes local records, restarts and votes
 * once more.
 */
final class SampleCore {
    static final String NAME = "d1-core";
    static final String DISK_ID = "d1-core/1f";
    static final int SEGMENTS = 6;
    static final int SEGMENT_BYTES = 2048;
    /** The message version of the sample's stored messages. */
    static final int MESSAGE_VERSION = 4;

    static final VoterSet VOTER_SET = new VoterSet(
            7,
            1,
            List.of(
                    new Voter(NAME, "10.0.0.1:7000", DISK_ID),
                    new Voter("d2-core", "10.0.0.2:7000", "d2-core/2f"),
                    new Voter("d3-core", "10.0.0.3:7000", "d3-core/3f")));
    static final long FIRST_VERSION = 7_340_032;
    static final ProposalNumber INITIAL_PROPOSAL = new ProposalNumber(1, "found");
    static final ProposalNumber PROPOSAL = new ProposalNumber(3, "d2-core/a1");
    static final ProposalNumber LATER_PROPOSAL = new ProposalNumber(9, "d3-core/b2");
    static final Lease FIRST_LEASE = new Lease("d2-core/77", "d2-core", 0, FIRST_VERSION + 1, 3000, false);
    static final Lease LEASE = new Lease("d2-core/77", "d2-core", 4, FIRST_VERSION + 1, 3000, true);
    static final SealedWindow WINDOW =
            new SealedWindow(345, Map.of("tenant-1", 1_000_000_007L), "d2-core/77", FIRST_VERSION + 1, true);
    static final IdempotencyClaim CLAIM = new IdempotencyClaim(
            "d4-edge/5", "digest-1", 1_000, 1_200, IdempotencyClaim.State.NOT_RUN, 503, "digest-2", "instance-1");
    static final UsageMessage.Count COUNT = new UsageMessage.Count("d4-edge", -5, 346, Map.of("tenant-1", 12L), false);
    static final Endpoint ENDPOINT =
            new Endpoint("instance-1", "records", "10.0.1.1:80", "d1", "r1", true, false, 5_000, 6_000, 4_000, 3);

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final RegisterGuard PERMISSIVE_GUARD = new PermissiveGuard();

    private SampleCore() {}

    /** Opens a disk as a starting core does; {@code freshDiskId} is the id given to a blank disk. */
    static Acceptor open(final SegmentStore segments, final String freshDiskId) {
        return new Acceptor(NAME, new SegmentedLog(segments), (address, message) -> {}, PERMISSIVE_GUARD, freshDiskId);
    }

    /** Runs two incarnations of a core on a blank disk. */
    static void run(final SegmentStore segments) {
        firstIncarnation(open(segments, DISK_ID));
        accept(open(segments, "unused"), Lease.key("usage_report"), LATER_PROPOSAL, MessageCodec.encodeRecord(LEASE));
    }

    private static void firstIncarnation(final Acceptor acceptor) {
        acceptor.startGeneration(
                VOTER_SET,
                List.of(
                        initialEntry("duty/floor", "12345".getBytes(StandardCharsets.UTF_8)),
                        initialEntry("duty/usage_report", MessageCodec.encodeRecord(FIRST_LEASE)),
                        initialEntry(
                                ConfigurationKeys.keyOf(FIRST_VERSION), MessageCodec.encodeRecord(firstChange()))));
        accept(
                acceptor,
                ConfigurationKeys.keyOf(FIRST_VERSION + 1),
                PROPOSAL,
                MessageCodec.encodeRecord(secondChange()));
        accept(acceptor, SealedWindow.key(344), PROPOSAL, MessageCodec.encodeRecord(WINDOW));
        accept(acceptor, SealedWindow.key(345), PROPOSAL, MessageCodec.encodeRecord(WINDOW));
        accept(acceptor, IdempotencyClaim.key("tenant-1", "pay-17"), PROPOSAL, MessageCodec.encodeRecord(CLAIM));
        acceptor.onMessage(
                new ConsensusMessage.Prepare(5, "10.0.0.2:7000", 7, 1, "once/tenant-1/pay-18", PROPOSAL, false),
                "10.0.0.1:7000");
        putLocalRecords(acceptor);
        acceptor.raiseVersionFloor(
                FIRST_VERSION, () -> acceptor.removeRegister(ConfigurationKeys.keyOf(FIRST_VERSION)));
        acceptor.removeRegister(SealedWindow.key(344));
    }

    private static void putLocalRecords(final Acceptor acceptor) {
        MessageNumbers.register();
        putLocalRecord(
                acceptor,
                "~policy",
                MessageCodec.encodeRecord(configurationStore().snapshot()));
        putLocalRecord(acceptor, "~council", new byte[0]);
        putLocalRecord(acceptor, "~form", MessageCodec.encodeRecord(StoredRecords.generationVote(6, PROPOSAL)));
        putLocalRecord(
                acceptor,
                "~usage",
                MessageCodec.encode(new UsageMessage.Counts("10.0.0.1:7000", 0, List.of(COUNT)), MESSAGE_VERSION));
        putLocalRecord(
                acceptor,
                "~listed",
                MessageCodec.encode(new DiscoveryMessage.Push(List.of(ENDPOINT), List.of(), 0), MESSAGE_VERSION));
    }

    private static void putLocalRecord(final Acceptor acceptor, final String key, final byte[] value) {
        acceptor.putLocalRecord(key, value, ok -> {
            if (!ok) {
                throw new IllegalStateException("failed to store " + key);
            }
        });
    }

    private static ConsensusMessage.Entry initialEntry(final String key, final byte[] value) {
        return new ConsensusMessage.Entry(key, new Register(INITIAL_PROPOSAL, INITIAL_PROPOSAL, value));
    }

    private static void accept(
            final Acceptor acceptor, final String key, final ProposalNumber proposalNumber, final byte[] value) {
        acceptor.onMessage(
                new ConsensusMessage.Accept(4, "10.0.0.2:7000", 7, 1, key, proposalNumber, value), "10.0.0.1:7000");
    }

    static ConfigurationChange firstChange() {
        return new ConfigurationChange("founding-7", ConfigurationChange.Kind.PUT, bytes("{\"holds\":{}}"), 1_000);
    }

    static ConfigurationChange secondChange() {
        return new ConfigurationChange(
                "chg-2", ConfigurationChange.Kind.PATCH, bytes("{\"holds\":{\"d2\":{}}}"), 2_000);
    }

    private static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the configuration after both changes. */
    static ConfigurationStore configurationStore() {
        final ConfigurationStore configurationStore = new ConfigurationStore(16);
        configurationStore.apply(FIRST_VERSION, firstChange());
        configurationStore.apply(FIRST_VERSION + 1, secondChange());
        return configurationStore;
    }

    /** Records every kind of decision, and further entries so that the audit log takes two files. */
    static void recordAudit(final AuditSink audit) {
        final LongSupplier fleetMs = () -> 5_000;
        final Auditor auditor = new Auditor(audit, configurationStore(), fleetMs);
        auditor.recordVoters(VOTER_SET);
        auditor.recordConfiguration();
        auditor.recordLease(LEASE);
        auditor.recordWindow(WINDOW);
        IntStream.range(0, 3).forEach(i -> audit.append("sample", numberedEntry(i)));
    }

    private static ObjectNode numberedEntry(final int number) {
        return JSON.createObjectNode().put("number", number);
    }
}
