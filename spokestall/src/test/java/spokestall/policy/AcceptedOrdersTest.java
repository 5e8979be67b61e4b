package spokestall.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.wire.Codec;

/** How long an accepted order is known, on every node alike. */
class AcceptedOrdersTest {
    private static final byte[] PATCH = "{}".getBytes(StandardCharsets.UTF_8);
    private long versions;

    private Change change(final long acceptedMs) {
        return new Change("order-" + ++versions, Change.Kind.PATCH, PATCH, acceptedMs);
    }

    private void apply(final Book book, final long acceptedMs) {
        final Change change = change(acceptedMs);
        book.apply(versions, change);
    }

    @Test
    void anOrderIsKnownForTenMinutesWhateverComesAfterItUpToTheMost() {
        final Book book = new Book(8);
        apply(book, 1_000_000);
        for (int i = 2; i <= AcceptedOrders.KEPT_MOST; i++) {
            apply(book, 1_000_000 + i * AcceptedOrders.KEPT_MS / AcceptedOrders.KEPT_MOST);
        }
        assertThat(book.versionOf("order-1")).as("at the end of its time").isEqualTo(1);
        apply(book, 1_000_000 + AcceptedOrders.KEPT_MS);
        assertThat(book.versionOf("order-1")).as("one more than the most").isNull();
        assertThat(book.orders()).hasSize(AcceptedOrders.KEPT_MOST);
    }

    @Test
    void afterItsTimeAnOrderIsKnownUntilTheLeastCameAfterIt() {
        final Book book = new Book(8);
        for (int i = 0; i < AcceptedOrders.KEPT_LEAST; i++) {
            apply(book, i * AcceptedOrders.KEPT_MS);
        }
        assertThat(book.versionOf("order-1")).isEqualTo(1);
        apply(book, AcceptedOrders.KEPT_LEAST * AcceptedOrders.KEPT_MS);
        assertThat(book.versionOf("order-1")).isNull();
        assertThat(book.versionOf("order-2")).isEqualTo(2);
    }

    @Test
    void nodesThatFollowAndNodesThatStartFromAnySnapshotKnowTheSame() {
        for (int seed = 0; seed < 20; seed++) {
            versions = 0;
            final Random random = new Random(seed);
            final Book whole = new Book(4);
            Book late = new Book(4);
            long nowMs = 1_800_000_000_000L;
            for (int i = 0; i < 3000; i++) {
                nowMs += random.nextInt(500) == 0 ? -30_000 : random.nextInt(4000);
                final Change change = change(random.nextInt(50) == 0 ? 0 : nowMs);
                final byte[] agreed = Codec.bytes(change);
                whole.apply(versions, Codec.record(agreed, Change.class));
                late.apply(versions, Codec.record(agreed, Change.class));
                if (random.nextInt(200) == 0) {
                    late = new Book(4);
                    late.load(Codec.record(Codec.bytes(whole.snapshot()), Snapshot.class));
                }
            }
            assertThat(late.orders()).isEqualTo(whole.orders());
        }
    }

    @Test
    void whatTheOlderProgramWroteIsReadAndCanBeRead() {
        record OldChange(String changeId, Change.Kind kind, byte[] json) {}
        record OldSnapshot(long version, byte[] json, Map<String, Long> changeIds) {}
        final Map<String, Long> ids = new LinkedHashMap<>(Map.of("a", 6L));
        final Snapshot read = Codec.record(Codec.bytes(new OldSnapshot(7, PATCH, ids)), Snapshot.class);
        final Book book = new Book(4);
        book.load(read);
        assertThat(book.versionOf("a")).isEqualTo(6);
        book.apply(8, Codec.record(Codec.bytes(new OldChange("b", Change.Kind.PATCH, PATCH)), Change.class));
        assertThat(book.versionOf("b")).isEqualTo(8);
        assertThat(Codec.record(Codec.bytes(book.snapshot()), OldSnapshot.class).changeIds())
                .containsOnlyKeys("a", "b");
        assertThat(Codec.record(Codec.bytes(change(5)), OldChange.class).changeId())
                .isEqualTo("order-1");
    }

    @Test
    void aGenerationsFirstChangeBringsTheOrdersOfBeforeToNodesThatKnowNoneOrOthers() {
        final List<AcceptedOrder> before = List.of(new AcceptedOrder("kept", 3, 10), new AcceptedOrder("too", 4, 20));
        final Change first = new Change("founding-9", Change.Kind.PUT, PATCH, 30, before);
        final Book blank = new Book(4);
        final Book ahead = new Book(4);
        apply(ahead, 15);
        for (final Book book : List.of(blank, ahead)) {
            book.apply(900, Codec.record(Codec.bytes(first), Change.class));
            assertThat(book.orders())
                    .containsExactly(before.get(0), before.get(1), new AcceptedOrder("founding-9", 900, 30));
        }
    }
}
