package spokestall.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import spokestall.gossip.GossipMessage;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.gossip.ViewParameters;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class GossipEdgeSharesTest {
    private static final int EDGES = 12;
    private static final long MEMBER_TIMEOUT_MS = 1000;
    private static final long WINDOW_MS = 400;
    private final ManualClock clock = new ManualClock(1_000_000);

    private NodeInfo edge(final int i) {
        return new NodeInfo(
                "edge-" + i, i + ":1", i + ":80", false, "d" + i % 6, "r" + i % 3, 1, clock.nowMs(), false, 0, 0, true);
    }

    private PartialView viewOf(final int self) {
        return new PartialView(
                edge(self),
                List.of("10.0.0.9:1"),
                (to, message) -> {},
                clock,
                new FleetClock(clock, 250),
                new Random(1),
                new ViewParameters(100, 6, MEMBER_TIMEOUT_MS, 500));
    }

    private void receiveGossipFrom(final PartialView view, final int from, final int until) {
        for (int i = from; i < until; i++) {
            view.onMessage(new GossipMessage.Shuffle(
                    i + ":1", edge(i), clock.nowMs(), true, clock.nowMs(), clock.nowMs(), true, List.of()));
        }
    }

    private GossipEdgeShares withoutReports(final PartialView view, final int configured) {
        return new GossipEdgeShares(view, true, () -> configured, List::of, new LearningPeriod(clock, 0, 0));
    }

    private List<GossipEdgeShares> edgesThatKnowEachOther() {
        final List<GossipEdgeShares> all = new ArrayList<>();
        for (int self = 0; self < EDGES; self++) {
            final PartialView view = viewOf(self);
            receiveGossipFrom(view, 0, EDGES);
            all.add(withoutReports(view, 0));
        }
        return all;
    }

    @Test
    void sharesOfAllEdgesAddUpToTheTotalForEachUpstream() {
        final List<GossipEdgeShares> all = edgesThatKnowEachOther();
        for (int total = 0; total <= 3 * EDGES; total++) {
            for (int upstream = 0; upstream < 20; upstream++) {
                int sum = 0;
                for (final GossipEdgeShares edge : all) {
                    sum += edge.share(total, "i-" + upstream, "r1");
                }
                assertThat(sum).isEqualTo(total);
            }
        }
    }

    @Test
    void edgesInTheUpstreamsRegionRankFirst() {
        final List<GossipEdgeShares> all = edgesThatKnowEachOther();
        final TreeSet<Integer> ranks = new TreeSet<>();
        for (int i = 0; i < EDGES; i++) {
            final int rank = all.get(i).rank("i-1", "r2");
            ranks.add(rank);
            assertThat(rank < EDGES / 3).as("edge " + i).isEqualTo(i % 3 == 2);
        }
        assertThat(ranks).as("each rank once").hasSize(EDGES);
    }

    @Test
    void anEdgeThatLeftTheViewKeepsItsShareUntilAnotherReplacesIt() {
        final PartialView view = viewOf(0);
        final GossipEdgeShares edges = withoutReports(view, 0);
        receiveGossipFrom(view, 1, EDGES);
        assertThat(edges.edges()).isEqualTo(EDGES);
        final int rank = edges.rank("i-1", "r0");
        clock.advance(MEMBER_TIMEOUT_MS + 1);
        assertThat(view.members()).isEmpty();
        receiveGossipFrom(view, 1, 2);
        assertThat(edges.edges()).isEqualTo(EDGES);
        assertThat(edges.rank("i-1", "r0")).isEqualTo(rank);
        receiveGossipFrom(view, 2, EDGES + 1);
        clock.advance(MEMBER_TIMEOUT_MS + 1);
        receiveGossipFrom(view, 2, EDGES + 1);
        assertThat(edges.edges()).as("edge 12 replaces edge 1").isEqualTo(EDGES);
    }

    @Test
    void aConfiguredEdgeCountOverridesTheView() {
        assertThat(withoutReports(viewOf(0), 7).edges()).isEqualTo(7);
    }

    @Test
    void anEdgeThatHasJustStartedTakesNoShareUntilACoreHasListedTheEdges() {
        final PartialView view = viewOf(0);
        receiveGossipFrom(view, 1, 3);
        final List<NodeInfo> reported = new ArrayList<>();
        final GossipEdgeShares edges = new GossipEdgeShares(
                view,
                true,
                () -> 0,
                () -> List.copyOf(reported),
                new LearningPeriod(clock, WINDOW_MS, MEMBER_TIMEOUT_MS));
        assertThat(edges.share(EDGES, "i-1", "r1"))
                .as("before the first report")
                .isZero();
        for (int i = 0; i < EDGES; i++) {
            reported.add(edge(i));
        }
        assertThat(edges.share(EDGES, "i-1", "r1"))
                .as("while its earlier incarnation's share counts")
                .isZero();
        clock.advance(WINDOW_MS);
        assertThat(edges.share(EDGES, "i-1", "r1")).as("after the report").isEqualTo(1);
        assertThat(edges.edges()).isEqualTo(EDGES);
    }

    @Test
    void anEdgeWithoutAReportSharesWithTheEdgesItKnowsOnceItHasHadTimeToLearn() {
        final PartialView view = viewOf(0);
        final GossipEdgeShares edges = new GossipEdgeShares(
                view, true, () -> 0, List::of, new LearningPeriod(clock, WINDOW_MS, MEMBER_TIMEOUT_MS));
        receiveGossipFrom(view, 1, 3);
        assertThat(edges.share(6, "i-1", "r1")).isZero();
        clock.advance(MEMBER_TIMEOUT_MS);
        receiveGossipFrom(view, 1, 3);
        assertThat(edges.share(6, "i-1", "r1")).isEqualTo(2);
    }
}
