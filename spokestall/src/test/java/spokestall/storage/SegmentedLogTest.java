package spokestall.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SegmentedLogTest {
    @Test
    void aDamagedSyncedRecordMakesTheLogBlank() {
        int blank = 0;
        for (int seed = 0; seed < 200; seed++) {
            final Random random = new Random(seed);
            final ManualSegmentStore disk = new ManualSegmentStore(6, 4096);
            final SegmentedLog log = new SegmentedLog(disk);
            for (int i = 0; i < 60; i++) {
                log.put("key-" + i % 7, ("value " + i).getBytes(StandardCharsets.UTF_8), ok -> {});
                disk.sync();
            }
            final int last = 59;
            // A written byte, but not in the last record: recovery would take damage there for a torn tail.
            final int at = random.nextInt(50 * 40);
            disk.flip(0, at, 0x20);
            final SegmentedLog reopened = new SegmentedLog(disk);
            if (reopened.blank()) {
                blank++;
                assertThat(reopened.table()).isEmpty();
            } else {
                assertThat(new String(reopened.table().get("key-" + last % 7), StandardCharsets.UTF_8))
                        .isEqualTo("value 59");
            }
        }
        assertThat(blank).isEqualTo(200);
    }

    @Test
    void aFullLogRejectsPutsUntilDeletionsFreeSpace() {
        final ManualSegmentStore disk = new ManualSegmentStore(6, 4096);
        final SegmentedLog log = new SegmentedLog(disk);
        final List<Boolean> accepted = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            log.put("key-" + i, new byte[100], accepted::add);
            disk.sync();
        }
        assertThat(log.state()).isEqualTo(SegmentedLog.State.FULL);
        assertThat(accepted).contains(true, false);
        final int kept = log.table().size();
        for (int i = 0; i < kept; i++) {
            log.put("key-" + i, null, ok -> {});
            disk.sync();
        }
        accepted.clear();
        log.put("after", new byte[100], accepted::add);
        disk.sync();
        assertThat(accepted).containsExactly(true);
        assertThat(new SegmentedLog(disk).table()).containsOnlyKeys("after");
    }

    @Test
    void aRefusedCommitIsRetriedAndItsPutsAreReportedOnceSynced() {
        final ManualSegmentStore disk = new ManualSegmentStore(6, 4096);
        final SegmentedLog log = new SegmentedLog(disk);
        final List<Boolean> reported = new ArrayList<>();
        log.put("one", new byte[10], reported::add);
        log.put("two", new byte[20], reported::add);
        disk.refuse();
        assertThat(reported).isEmpty();
        assertThat(log.state()).isEqualTo(SegmentedLog.State.REFUSING);
        assertThat(log.canWrite()).isFalse();
        log.put("three", new byte[30], reported::add);
        log.retry();
        disk.refuse();
        assertThat(log.canWrite()).isFalse();
        log.retry();
        log.retry();
        disk.sync();
        assertThat(log.canWrite()).isTrue();
        disk.sync();
        assertThat(reported).containsExactly(true, true, true);
        assertThat(new SegmentedLog(disk).table()).containsOnlyKeys("one", "two", "three");
    }

    @Test
    void putsQueuedWhileTheDiskRefusesAreBounded() {
        final ManualSegmentStore disk = new ManualSegmentStore(6, 4096);
        final SegmentedLog log = new SegmentedLog(disk);
        log.put("first", new byte[1], ok -> {});
        disk.refuse();
        final List<Boolean> reported = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            log.put("key", new byte[1], reported::add);
        }
        assertThat(reported).hasSizeGreaterThan(90_000).containsOnly(false);
    }

    @Test
    void compactionKeepsAnOldLiveRecordWhileTheRingWrapsAround() {
        final ManualSegmentStore disk = new ManualSegmentStore(8, 4096);
        final SegmentedLog log = new SegmentedLog(disk);
        log.put("identity", "disk-1".getBytes(StandardCharsets.UTF_8), ok -> {});
        disk.sync();
        for (int i = 0; i < 2000; i++) {
            log.put("other", ("value " + i + "x".repeat(100)).getBytes(StandardCharsets.UTF_8), ok -> {});
            disk.sync();
            if (i % 50 == 0) {
                assertThat(new SegmentedLog(disk).table()).as("after %s", i).containsOnlyKeys("identity", "other");
            }
        }
    }
}
