package spokestall.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageTableTest {
    private static final long NOW = 100;
    private static final int KEPT = 3;
    private static final CurrentIncarnations NONE_KNOWN = edge -> null;
    private final UsageTable table = new UsageTable(() -> NOW, KEPT);

    private static UsageMessage.Count count(
            final String edge, final long incarnation, final long window, final long started, final boolean closed) {
        return new UsageMessage.Count(edge, incarnation, window, Map.of("t", started), closed);
    }

    @Test
    void mergeTakesTheLargerCountAndTotalsAddIncarnations() {
        table.merge(count("e", 1, NOW, 5, false));
        table.merge(count("e", 1, NOW, 3, false));
        table.merge(count("e", 1, NOW, 5, false));
        table.merge(count("e", -2, NOW, 2, false));
        table.merge(count("f", 1, NOW, 10, false));
        assertThat(table.totals(NOW)).isEqualTo(Map.of("t", 17L));
        assertThat(table.changeCount()).isEqualTo(5);
    }

    @Test
    void countsOfTooOldOrFutureWindowsAreDiscarded() {
        table.merge(count("e", 1, NOW - KEPT - 1, 1, false));
        table.merge(count("e", 1, NOW + 2, 1, false));
        assertThat(table.allCounts()).isEmpty();
        table.merge(count("e", 1, NOW - KEPT, 1, false));
        table.merge(count("e", 1, NOW + 1, 1, false));
        assertThat(table.allCounts()).extracting(UsageMessage.Count::window).containsExactly(NOW - KEPT, NOW + 1);
    }

    @Test
    void windowIsClosedAfterEveryEdgeActiveInItOrThePreviousWindowClosedIt() {
        table.merge(count("e", 1, NOW, 1, true));
        table.merge(count("f", 1, NOW - 1, 1, true));
        assertThat(table.isClosed(NOW, NONE_KNOWN)).isFalse();
        table.merge(new UsageMessage.Count("f", 1, NOW, Map.of(), true));
        assertThat(table.isClosed(NOW, NONE_KNOWN)).isTrue();
    }

    @Test
    void supersededIncarnationDoesNotKeepAWindowOpen() {
        table.merge(count("e", -7, NOW, 1, false));
        assertThat(table.isClosed(NOW, NONE_KNOWN)).isFalse();
        assertThat(table.isClosed(NOW, edge -> -7L)).isFalse();
        assertThat(table.isClosed(NOW, edge -> 8L)).isTrue();
    }

    @Test
    void mergingAllCountsOfATableReproducesIt() {
        table.merge(count("e#x", -1, NOW, 5, true));
        table.merge(count("f", 2, NOW - 1, 7, false));
        final UsageTable other = new UsageTable(() -> NOW, KEPT);
        table.allCounts().forEach(other::merge);
        assertThat(other.allCounts()).containsExactlyInAnyOrderElementsOf(table.allCounts());
        assertThat(other.counts(NOW)).containsExactly(count("e#x", -1, NOW, 5, true));
    }
}
