package spokestall.audit;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.VoterSet;
import spokestall.lease.Lease;
import spokestall.usage.SealedWindow;

class AuditorTest {
    private static final long FLEET_MS = 5_000;
    private final List<String> entries = new ArrayList<>();
    private final Auditor auditor = new Auditor(
            new AuditSink() {
                @Override
                public void append(final String kind, final ObjectNode fields) {
                    entries.add(kind + " " + fields);
                }

                @Override
                public ObjectNode newest(final int limit) {
                    return null;
                }
            },
            new ConfigurationStore(4),
            () -> FLEET_MS);

    @Test
    void votersAreWrittenOnceForEachEpoch() {
        auditor.recordVoters(null);
        auditor.recordVoters(new VoterSet(7, 2, List.of()));
        auditor.recordVoters(new VoterSet(7, 2, List.of()));
        auditor.recordVoters(new VoterSet(7, 1, List.of()));
        assertThat(entries).containsExactly("voters {\"fleetMs\":5000,\"generation\":7,\"epoch\":2}");
    }

    @Test
    void aUsageWindowIsWrittenExactlyOnceAfterItIsReported() {
        final SealedWindow sealed = new SealedWindow(345, Map.of("tenant-1", 2L), "d1-core", 9, false);
        auditor.recordWindow(sealed);
        assertThat(entries).isEmpty();
        final SealedWindow reported = new SealedWindow(345, Map.of("tenant-1", 2L), "d1-core", 9, true);
        auditor.recordWindow(reported);
        auditor.recordWindow(reported);
        assertThat(entries)
                .containsExactly("window {\"fleetMs\":5000,\"window\":345,\"token\":9,\"counts\":{\"tenant-1\":2}}");
    }

    @Test
    void anUnknownLeaseAndAnUnchangedConfigurationAreNotWritten() {
        final Lease none = null;
        auditor.recordLease(none);
        auditor.recordConfiguration();
        assertThat(entries).isEmpty();
    }
}
