package spokestall.handoff;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HintStoreTest {
    @Test
    void theNewestKeysAreKeptUpToTheLimitAndRemovedOldestFirst() {
        final HintStore hints = new HintStore(10);
        for (int i = 0; i < 25; i++) {
            hints.add("d2-core", "key-" + i);
            hints.add("d2-core", "key-" + i);
        }
        assertThat(hints.sizes()).containsEntry("d2-core", 10);
        assertThat(hints.remove("d2-core", 4)).containsExactly("key-15", "key-16", "key-17", "key-18");
        assertThat(hints.remove("d2-core", 100)).hasSize(6).contains("key-24");
        assertThat(hints.remove("d2-core", 100)).isEmpty();
        assertThat(hints.sizes()).isEmpty();
    }
}
