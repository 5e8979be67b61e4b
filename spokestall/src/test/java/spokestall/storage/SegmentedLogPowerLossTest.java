package spokestall.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Recovery after random power losses, each of which loses or tears chunks of the commit in flight. */
class SegmentedLogPowerLossTest {
    /**
     * Checks that each key has its last synced value or one that was put later, and marks the found value as synced for later
     * checks.
     */
    private static void verifyRecovered(
            final SegmentedLog log,
            final int keys,
            final Map<String, String> synced,
            final Map<String, List<String>> unsynced,
            final String run) {
        for (int k = 0; k < keys; k++) {
            final String key = "key-" + k;
            final byte[] found = log.table().get(key);
            final String text = found == null ? null : new String(found, StandardCharsets.UTF_8);
            final List<String> allowed = new ArrayList<>(unsynced.getOrDefault(key, List.of()));
            allowed.add(synced.get(key));
            assertThat(allowed).as("%s of %s", key, run).contains(text);
            synced.put(key, text);
        }
        unsynced.clear();
    }

    @Test
    void eachRecoveredValueIsTheLastSyncedOrALaterPut() {
        long losses = 0;
        for (int seed = 0; seed < 60; seed++) {
            final Random random = new Random(seed);
            final ManualSegmentStore disk = new ManualSegmentStore(6, 4096);
            SegmentedLog log = new SegmentedLog(disk);
            assertThat(log.blank()).isTrue();
            // For each key, the last synced value, and the values put since.
            final Map<String, String> synced = new HashMap<>();
            final Map<String, List<String>> unsynced = new HashMap<>();
            for (int step = 0; step < 1500; step++) {
                final String key = "key-" + random.nextInt(12);
                final String value = random.nextInt(5) == 0
                        ? null
                        : String.format("%03d/%05d", seed, step)
                                + "x".repeat(random.nextBoolean() ? 20 : random.nextInt(200));
                unsynced.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
                log.put(key, value == null ? null : value.getBytes(StandardCharsets.UTF_8), ok -> {
                    assertThat(ok).isTrue();
                    synced.put(key, value);
                    unsynced.get(key).remove(0);
                });
                if (random.nextInt(3) == 0) {
                    disk.sync();
                }
                if (random.nextInt(50) == 0) {
                    disk.losePower(random);
                    log = new SegmentedLog(disk);
                    losses++;
                    assertThat(log.blank() && !synced.isEmpty())
                            .as("blank after synced puts")
                            .isFalse();
                    verifyRecovered(log, 12, synced, unsynced, "seed " + seed);
                }
            }
        }
        assertThat(losses).isGreaterThan(500);
    }

    /** Writes records of up to a segment's size to a log that is close to its capacity. */
    @Test
    void largeRecordsDoNotOverwriteRecordsThatRecoveryNeeds() {
        final int size = 4096;
        for (int seed = 0; seed < 300; seed++) {
            final Random random = new Random(seed);
            final ManualSegmentStore disk = new ManualSegmentStore(8, size);
            SegmentedLog log = new SegmentedLog(disk);
            final AtomicBoolean anySynced = new AtomicBoolean();
            final Map<String, String> synced = new HashMap<>();
            final Map<String, List<String>> unsynced = new HashMap<>();
            for (int step = 0; step < 400; step++) {
                final String key = "key-" + random.nextInt(9);
                final int bytes = random.nextInt(3) == 0 ? 20 + random.nextInt(size - 100) : random.nextInt(200);
                final String value = random.nextInt(9) == 0 ? null : step + "/" + "x".repeat(bytes);
                unsynced.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
                log.put(key, value == null ? null : value.getBytes(StandardCharsets.UTF_8), ok -> {
                    if (ok) {
                        synced.put(key, value);
                        anySynced.set(true);
                    }
                    unsynced.get(key).remove(value);
                });
                if (random.nextInt(4) == 0) {
                    disk.sync();
                }
                if (random.nextInt(40) == 0) {
                    disk.losePower(random);
                    log = new SegmentedLog(disk);
                    assertThat(log.blank() && anySynced.get())
                            .as("blank, seed %s step %s", seed, step)
                            .isFalse();
                    verifyRecovered(log, 9, synced, unsynced, "seed " + seed + " step " + step);
                }
            }
        }
    }

    /** Returns a value that starts with the number of its put, followed by {@code bytes} zero bytes. */
    private static byte[] numbered(final int number, final int bytes) {
        return ByteBuffer.allocate(Integer.BYTES + bytes).putInt(number).array();
    }

    private static int number(final SegmentedLog log, final String key) {
        final byte[] found = log.table().get(key);
        return found == null ? 0 : ByteBuffer.wrap(found).getInt();
    }

    @Test
    void recoveredPutsAreAPrefixOfAllPuts() {
        for (int seed = 0; seed < 100; seed++) {
            final Random random = new Random(seed);
            final ManualSegmentStore disk = new ManualSegmentStore(8, 4096);
            SegmentedLog log = new SegmentedLog(disk);
            for (int step = 1; step <= 300; step++) {
                // Mirrors the production order: a snapshot is put before the floor below which it replaces other
                // records.
                log.put("snapshot", numbered(step, random.nextInt(1500)), ok -> {});
                log.put("floor", numbered(step, 0), ok -> {});
                if (random.nextInt(3) == 0) {
                    disk.sync();
                }
                if (random.nextInt(20) == 0) {
                    disk.losePower(random);
                    log = new SegmentedLog(disk);
                    assertThat(number(log, "floor"))
                            .as("floor, seed %s step %s", seed, step)
                            .isLessThanOrEqualTo(number(log, "snapshot"));
                }
            }
        }
    }

    /**
     * Power losses during an incarnation's first commit may leave only the commit's last chunks on disk. If a later incarnation
     * reached the sequence numbers before these records, recovery could take them for its continuation.
     */
    @Test
    void staleRecordsBeyondATornTailNeverReplaceSyncedOnes() {
        for (int seed = 0; seed < 300; seed++) {
            final Random random = new Random(seed);
            final ManualSegmentStore disk = new ManualSegmentStore(8, 1024);
            SegmentedLog log = new SegmentedLog(disk);
            final Map<String, Integer> synced = new HashMap<>();
            for (int step = 1; step <= 600; step++) {
                final int number = step;
                final String key = "key-" + random.nextInt(8);
                log.put(key, numbered(number, random.nextInt(200)), ok -> synced.put(key, number));
                if (random.nextInt(3) > 0) {
                    disk.sync();
                    continue;
                }
                disk.losePowerDroppingFirst(random.nextInt(3));
                log = new SegmentedLog(disk);
                for (final Map.Entry<String, Integer> e : synced.entrySet()) {
                    assertThat(number(log, e.getKey()))
                            .as("%s, seed %s step %s", e.getKey(), seed, step)
                            .isGreaterThanOrEqualTo(e.getValue());
                }
            }
        }
    }
}
