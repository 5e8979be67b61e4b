package spokestall.node;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import spokestall.consensus.Voter;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.membership.ToleratedLoss;
import spokestall.settings.Settings;

/**
 * The largest loss that the settings require the fleet to survive: so many cores, zones or regions at once.
 *
 * <p>Zones and regions of the voters are taken from the gossip view. Not thread-safe; all calls on the node's event loop.
 */
final class ToleratedVoterLoss implements ToleratedLoss {
    /** Before the name of a voter whose place is unknown, so that the name can't be taken for a place's. */
    private static final String UNKNOWN_PLACE_PREFIX = "?";

    private final Settings settings;
    private final PartialView view;

    ToleratedVoterLoss(final Settings settings, final PartialView view) {
        this.settings = settings;
        this.view = view;
    }

    @Override
    public int maxVotersLost(final List<Voter> voters) {
        final int byCores = (int) settings.integer("lossCores");
        final int byZones = votersInLargestPlaces(voters, NodeInfo::zone, (int) settings.integer("lossDistricts"));
        final int byRegions = votersInLargestPlaces(voters, NodeInfo::region, (int) settings.integer("lossRegions"));
        return Math.max(byCores, Math.max(byZones, byRegions));
    }

    /** Counts the voters in the {@code places} with the most of them. A core whose place is unknown is a place of its own. */
    private int votersInLargestPlaces(
            final List<Voter> voters, final Function<NodeInfo, String> placeOf, final int places) {
        final Map<String, String> placeByName = new HashMap<>();
        view.members().forEach(member -> placeByName.put(member.name(), placeOf.apply(member)));
        placeByName.put(view.self().name(), placeOf.apply(view.self()));
        final Map<String, Integer> votersByPlace = new HashMap<>();
        voters.forEach(voter -> votersByPlace.merge(
                placeByName.getOrDefault(voter.name(), UNKNOWN_PLACE_PREFIX + voter.name()), 1, Integer::sum));
        return votersByPlace.values().stream()
                .sorted(Comparator.reverseOrder())
                .limit(places)
                .mapToInt(Integer::intValue)
                .sum();
    }
}
