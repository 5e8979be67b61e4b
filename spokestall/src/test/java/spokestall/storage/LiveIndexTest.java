package spokestall.storage;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LiveIndexTest {
    private static final int SEGMENT_BYTES = 1000;

    private final LiveIndex index = new LiveIndex(3, SEGMENT_BYTES);

    @Test
    void aKeyIsIndexedInTheSegmentOfItsNewestRecord() {
        index.update("key", new byte[] {1}, 0, 50);
        index.update("key", new byte[] {2}, 1, 60);
        assertThat(index.keysIn(0)).isEmpty();
        assertThat(index.keysIn(1)).containsExactly("key");
        assertThat(index.value("key")).containsExactly(2);
        assertThat(index.chargedBytes()).isEqualTo(60);
    }

    @Test
    void aDeletionRemovesTheKeyAndItsCharge() {
        index.update("key", new byte[] {1}, 0, 50);
        index.update("key", null, 2, 40);
        assertThat(index.table()).isEmpty();
        assertThat(index.keysIn(0)).isEmpty();
        assertThat(index.keysIn(2)).isEmpty();
        assertThat(index.chargedBytes()).isZero();
    }

    @Test
    void aRecordOfMoreThanAQuarterOfASegmentIsChargedTwice() {
        index.update("small", new byte[] {1}, 0, 250);
        index.update("large", new byte[] {1}, 0, 251);
        assertThat(index.chargedBytes()).isEqualTo(250 + 2 * 251);
        assertThat(index.chargedBytesWith("large", 100)).isEqualTo(250 + 100);
        assertThat(index.chargedBytesWith("other", 100)).isEqualTo(250 + 2 * 251 + 100);
    }
}
