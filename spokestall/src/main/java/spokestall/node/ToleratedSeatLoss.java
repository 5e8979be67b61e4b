package spokestall.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import spokestall.consensus.Voter;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.settings.Settings;

/** How many seats the largest loss that must be borne can take: so many cores, or zones, or regions at once. */
final class ToleratedSeatLoss implements ToIntFunction<List<Voter>> {
    private final Settings settings;
    private final PartialView view;

    ToleratedSeatLoss(final Settings settings, final PartialView view) {
        this.settings = settings;
        this.view = view;
    }

    @Override
    public int applyAsInt(final List<Voter> voters) {
        final int byCores = (int) settings.integer("lossCores");
        final int byZones = largest(voters, NodeInfo::zone, (int) settings.integer("lossDistricts"));
        final int byRegions = largest(voters, NodeInfo::region, (int) settings.integer("lossRegions"));
        return Math.max(byCores, Math.max(byZones, byRegions));
    }

    /** The seats in so many of the places that have the most. A core whose place is not known counts as one by itself. */
    private int largest(final List<Voter> voters, final Function<NodeInfo, String> placeOf, final int places) {
        final Map<String, String> known = new HashMap<>();
        view.members().forEach(m -> known.put(m.name(), placeOf.apply(m)));
        known.put(view.self().name(), placeOf.apply(view.self()));
        final Map<String, Integer> votersIn = new HashMap<>();
        voters.forEach(voter -> votersIn.merge(known.getOrDefault(voter.name(), "?" + voter.name()), 1, Integer::sum));
        return votersIn.values().stream()
                .sorted(java.util.Comparator.reverseOrder())
                .limit(places)
                .mapToInt(Integer::intValue)
                .sum();
    }
}
