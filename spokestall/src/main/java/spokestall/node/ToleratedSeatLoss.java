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

/** How many seats the largest loss that must be borne can take: so many cores, or districts, or regions at once. */
final class ToleratedSeatLoss implements ToIntFunction<List<Voter>> {
    private final Settings settings;
    private final PartialView view;

    ToleratedSeatLoss(final Settings settings, final PartialView view) {
        this.settings = settings;
        this.view = view;
    }

    @Override
    public int applyAsInt(final List<Voter> seats) {
        final int byCores = (int) settings.ms("lossCores");
        final int byDistricts = largest(seats, NodeInfo::district, (int) settings.ms("lossDistricts"));
        final int byRegions = largest(seats, NodeInfo::region, (int) settings.ms("lossRegions"));
        return Math.max(byCores, Math.max(byDistricts, byRegions));
    }

    /** The seats in so many of the places that have the most. A core whose place is not known counts as one by itself. */
    private int largest(final List<Voter> seats, final Function<NodeInfo, String> placeOf, final int places) {
        final Map<String, String> known = new HashMap<>();
        view.members().forEach(m -> known.put(m.name(), placeOf.apply(m)));
        known.put(view.self().name(), placeOf.apply(view.self()));
        final Map<String, Integer> seatsIn = new HashMap<>();
        seats.forEach(seat -> seatsIn.merge(known.getOrDefault(seat.name(), "?" + seat.name()), 1, Integer::sum));
        return seatsIn.values().stream()
                .sorted(java.util.Comparator.reverseOrder())
                .limit(places)
                .mapToInt(Integer::intValue)
                .sum();
    }
}
