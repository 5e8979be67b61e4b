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
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class SegmentedLogTest {
    /** A disk that holds commits back until told, and may lose or tear what is not synced. */
    private static final class Disk extends InMemorySegmentStore {
        private final List<Chunk> flying = new ArrayList<>();
        private Consumer<Boolean> waiting;

        Disk(final int count, final int size) {
            super(count, size);
        }

        @Override
        public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
            assertThat(waiting).as("one commit at a time").isNull();
            flying.addAll(chunks);
            waiting = done;
        }

        void sync() {
            write(flying);
            flying.clear();
            final Consumer<Boolean> done = waiting;
            waiting = null;
            if (done != null) {
                done.accept(true);
            }
        }

        /** The commit under way fails. */
        void refuse() {
            flying.clear();
            final Consumer<Boolean> done = waiting;
            waiting = null;
            done.accept(false);
        }

        /** The power goes, and the first pieces of the commit under way are lost, the others not. */
        void losePowerBut(final int lost) {
            write(flying.stream().skip(lost).toList());
            flying.clear();
            waiting = null;
        }

        void losePower(final Random random) {
            for (final Chunk p : flying) {
                write(p, random.nextInt(p.bytes().length + 1));
            }
            flying.clear();
            waiting = null;
        }
    }

    @Test
    void whatWasSyncedIsThereAfterAnyPowerLossAndNothingElseIs() {
        long losses = 0;
        for (int seed = 0; seed < 60; seed++) {
            final Random random = new Random(seed);
            final Disk disk = new Disk(6, 4096);
            SegmentedLog segmentedLog = new SegmentedLog(disk);
            assertThat(segmentedLog.blank()).isTrue();
            // For each key the value that was synced last, and those put since.
            final Map<String, String> synced = new HashMap<>();
            final Map<String, List<String>> maybe = new HashMap<>();
            for (int step = 0; step < 1500; step++) {
                final String key = "key-" + random.nextInt(12);
                final String value = random.nextInt(5) == 0
                        ? null
                        : String.format("%03d/%05d", seed, step)
                                + "x".repeat(random.nextBoolean() ? 20 : random.nextInt(200));
                maybe.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
                segmentedLog.put(key, value == null ? null : value.getBytes(StandardCharsets.UTF_8), ok -> {
                    assertThat(ok).isTrue();
                    synced.put(key, value);
                    maybe.get(key).remove(0);
                });
                if (random.nextInt(3) == 0) {
                    disk.sync();
                }
                if (random.nextInt(50) == 0) {
                    disk.losePower(random);
                    segmentedLog = new SegmentedLog(disk);
                    losses++;
                    assertThat(segmentedLog.blank() && !synced.isEmpty())
                            .as("not blank")
                            .isFalse();
                    for (int k = 0; k < 12; k++) {
                        final String name = "key-" + k;
                        final byte[] found = segmentedLog.table().get(name);
                        final String text = found == null ? null : new String(found, StandardCharsets.UTF_8);
                        final List<String> allowed = new ArrayList<>(maybe.getOrDefault(name, List.of()));
                        allowed.add(synced.get(name));
                        assertThat(allowed).as("%s of seed %s", name, seed).contains(text);
                        synced.put(name, text);
                    }
                    maybe.clear();
                }
            }
        }
        assertThat(losses).isGreaterThan(500);
    }

    @Test
    void aHoleInWhatWasSyncedMakesItBlankRatherThanWrong() {
        int blank = 0;
        for (int seed = 0; seed < 200; seed++) {
            final Random random = new Random(seed);
            final Disk disk = new Disk(6, 4096);
            final SegmentedLog segmentedLog = new SegmentedLog(disk);
            for (int i = 0; i < 60; i++) {
                segmentedLog.put("key-" + i % 7, ("value " + i).getBytes(StandardCharsets.UTF_8), ok -> {});
                disk.sync();
            }
            final int last = 59;
            // Somewhere in what was written, but not in the last record: that one looks like a torn tail.
            final int at = random.nextInt(50 * 40);
            disk.flip(0, at, 0x20);
            final SegmentedLog again = new SegmentedLog(disk);
            if (again.blank()) {
                blank++;
                assertThat(again.table()).isEmpty();
            } else {
                assertThat(new String(again.table().get("key-" + last % 7), StandardCharsets.UTF_8))
                        .isEqualTo("value 59");
            }
        }
        assertThat(blank).isEqualTo(200);
    }

    @Test
    void aLogThatIsFullSaysSoAndTakesDropsAndThenPutsAgain() {
        final Disk disk = new Disk(6, 4096);
        final SegmentedLog segmentedLog = new SegmentedLog(disk);
        final List<Boolean> taken = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            segmentedLog.put("key-" + i, new byte[100], taken::add);
            disk.sync();
        }
        assertThat(segmentedLog.state()).isEqualTo(SegmentedLog.State.FULL);
        assertThat(taken).contains(true, false);
        final int kept = segmentedLog.table().size();
        for (int i = 0; i < kept; i++) {
            segmentedLog.put("key-" + i, null, ok -> {});
            disk.sync();
        }
        taken.clear();
        segmentedLog.put("after", new byte[100], taken::add);
        disk.sync();
        assertThat(taken).containsExactly(true);
        assertThat(new SegmentedLog(disk).table()).containsOnlyKeys("after");
    }

    /** Records of up to a file, on a ring that is nearly as full as it may be. */
    @Test
    void largeRecordsOverwriteNothingThatTheNextPowerLossStillNeeds() {
        final int size = 4096;
        for (int seed = 0; seed < 300; seed++) {
            final Random random = new Random(seed);
            final Disk disk = new Disk(8, size);
            SegmentedLog segmentedLog = new SegmentedLog(disk);
            final AtomicBoolean anything = new AtomicBoolean();
            final Map<String, String> synced = new HashMap<>();
            final Map<String, List<String>> maybe = new HashMap<>();
            for (int step = 0; step < 400; step++) {
                final String key = "key-" + random.nextInt(9);
                final int bytes = random.nextInt(3) == 0 ? 20 + random.nextInt(size - 100) : random.nextInt(200);
                final String value = random.nextInt(9) == 0 ? null : step + "/" + "x".repeat(bytes);
                maybe.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
                segmentedLog.put(key, value == null ? null : value.getBytes(StandardCharsets.UTF_8), ok -> {
                    if (ok) {
                        synced.put(key, value);
                        anything.set(true);
                    }
                    maybe.get(key).remove(value);
                });
                if (random.nextInt(4) == 0) {
                    disk.sync();
                }
                if (random.nextInt(40) == 0) {
                    disk.losePower(random);
                    segmentedLog = new SegmentedLog(disk);
                    assertThat(segmentedLog.blank() && anything.get())
                            .as("blank, seed %s step %s", seed, step)
                            .isFalse();
                    for (int k = 0; k < 9; k++) {
                        final String name = "key-" + k;
                        final byte[] found = segmentedLog.table().get(name);
                        final String text = found == null ? null : new String(found, StandardCharsets.UTF_8);
                        final List<String> allowed = new ArrayList<>(maybe.getOrDefault(name, List.of()));
                        allowed.add(synced.get(name));
                        assertThat(allowed.contains(text))
                                .as("%s of seed %s step %s", name, seed, step)
                                .isTrue();
                        synced.put(name, text);
                    }
                    maybe.clear();
                }
            }
        }
    }

    @Test
    void aDiskThatRefusesAWriteIsAskedAgainAndWhatItRefusedIsToldWhenItIsDown() {
        final Disk disk = new Disk(6, 4096);
        final SegmentedLog segmentedLog = new SegmentedLog(disk);
        final List<Boolean> told = new ArrayList<>();
        segmentedLog.put("one", new byte[10], told::add);
        segmentedLog.put("two", new byte[20], told::add);
        disk.refuse();
        assertThat(told).isEmpty();
        assertThat(segmentedLog.state()).isEqualTo(SegmentedLog.State.REFUSING);
        assertThat(segmentedLog.canWrite()).isFalse();
        segmentedLog.put("three", new byte[30], told::add);
        segmentedLog.retry();
        disk.refuse();
        assertThat(segmentedLog.canWrite()).isFalse();
        segmentedLog.retry();
        segmentedLog.retry();
        disk.sync();
        assertThat(segmentedLog.canWrite()).isTrue();
        disk.sync();
        assertThat(told).containsExactly(true, true, true);
        assertThat(new SegmentedLog(disk).table()).containsOnlyKeys("one", "two", "three");
    }

    @Test
    void whatADiskThatRefusesHasToKeepWaitingIsBounded() {
        final Disk disk = new Disk(6, 4096);
        final SegmentedLog segmentedLog = new SegmentedLog(disk);
        segmentedLog.put("first", new byte[1], ok -> {});
        disk.refuse();
        final List<Boolean> told = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            segmentedLog.put("key", new byte[1], told::add);
        }
        assertThat(told).hasSizeGreaterThan(90_000).containsOnly(false);
    }

    @Test
    void whatWasWrittenOnceInTheFirstLifeIsStillThereAfterTheLogHasGoneRoundManyTimes() {
        final Disk disk = new Disk(8, 4096);
        final SegmentedLog segmentedLog = new SegmentedLog(disk);
        segmentedLog.put("identity", "disk-1".getBytes(StandardCharsets.UTF_8), ok -> {});
        disk.sync();
        for (int i = 0; i < 2000; i++) {
            segmentedLog.put("other", ("value " + i + "x".repeat(100)).getBytes(StandardCharsets.UTF_8), ok -> {});
            disk.sync();
            if (i % 50 == 0) {
                assertThat(new SegmentedLog(disk).table()).as("after %s", i).containsOnlyKeys("identity", "other");
            }
        }
    }

    /** A value that tells when it was put, of any length. */
    private static byte[] numbered(final int number, final int bytes) {
        return ByteBuffer.allocate(Integer.BYTES + bytes).putInt(number).array();
    }

    private static int number(final SegmentedLog segmentedLog, final String key) {
        final byte[] found = segmentedLog.table().get(key);
        return found == null ? 0 : ByteBuffer.wrap(found).getInt();
    }

    @Test
    void aPowerLossLeavesWhatWasPutUpToSomePutAndNothingAfterIt() {
        for (int seed = 0; seed < 100; seed++) {
            final Random random = new Random(seed);
            final Disk disk = new Disk(8, 4096);
            SegmentedLog segmentedLog = new SegmentedLog(disk);
            for (int step = 1; step <= 300; step++) {
                // As a snapshot is put before what it makes superfluous is let go.
                segmentedLog.put("snapshot", numbered(step, random.nextInt(1500)), ok -> {});
                segmentedLog.put("floor", numbered(step, 0), ok -> {});
                if (random.nextInt(3) == 0) {
                    disk.sync();
                }
                if (random.nextInt(20) == 0) {
                    disk.losePower(random);
                    segmentedLog = new SegmentedLog(disk);
                    assertThat(number(segmentedLog, "floor"))
                            .as("floor, seed %s step %s", seed, step)
                            .isLessThanOrEqualTo(number(segmentedLog, "snapshot"));
                }
            }
        }
    }

    /** Lives that end in their first commit, of which only what was written last is left. */
    @Test
    void whatALifeLeftBehindACutNeverFollowsWhatALaterLifeWrites() {
        for (int seed = 0; seed < 300; seed++) {
            final Random random = new Random(seed);
            final Disk disk = new Disk(8, 1024);
            SegmentedLog segmentedLog = new SegmentedLog(disk);
            final Map<String, Integer> synced = new HashMap<>();
            for (int step = 1; step <= 600; step++) {
                final int number = step;
                final String key = "key-" + random.nextInt(8);
                segmentedLog.put(key, numbered(number, random.nextInt(200)), ok -> synced.put(key, number));
                if (random.nextInt(3) > 0) {
                    disk.sync();
                    continue;
                }
                disk.losePowerBut(random.nextInt(3));
                segmentedLog = new SegmentedLog(disk);
                for (final Map.Entry<String, Integer> e : synced.entrySet()) {
                    assertThat(number(segmentedLog, e.getKey()))
                            .as("%s, seed %s step %s", e.getKey(), seed, step)
                            .isGreaterThanOrEqualTo(e.getValue());
                }
            }
        }
    }
}
