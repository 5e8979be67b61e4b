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
 * The largest simultaneous loss that the settings require the fleet to survive: a number of cores, zones or regions.
 *
 * <p>The voters' zones and regions come from the gossip view. Not thread-safe; all calls on the node's event loop.
 */
final class ToleratedVoterLoss implements ToleratedLoss {
    /**
     * Prefix of a voter's name where it stands for the voter's unknown place, so that the name can't collide with a
     * zone or region.
     */
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

    /**
     * Returns the number of voters in the {@code places} zones or regions with the most voters. A core whose place is
     * unknown counts as a place of its own.
     */
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
