package spokestall.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;

/** The other nodes as this one knows them, by its view and by the table of voters. */
final class PeerDirectory {
    private static final int SAME_ZONE = 0;
    private static final int SAME_REGION = 1;
    private static final int ELSEWHERE = 2;
    private final NodeContext context;
    private final PartialView view;
    private final Supplier<VoterSet> voterSet;
    private int sharingEdgesMax = 1;
    private long sharingEdgesSeen = -1;

    PeerDirectory(final NodeContext context, final PartialView view, final Supplier<VoterSet> voterSet) {
        this.context = context;
        this.view = view;
        this.voterSet = voterSet;
    }

    /** How far the node at an address is: 0 is this node's zone, 1 its region, 2 any other place. */
    int distance(final String of) {
        for (final NodeInfo member : view.members()) {
            if (member.address().equals(of)) {
                return distance(member);
            }
        }
        return ELSEWHERE;
    }

    private int distance(final NodeInfo member) {
        if (member.zone().equals(context.settings().text("district"))) {
            return SAME_ZONE;
        }
        return member.region().equals(context.settings().region()) ? SAME_REGION : ELSEWHERE;
    }

    List<NodeInfo> otherCores() {
        return view.members().stream().filter(NodeInfo::core).toList();
    }

    /** The voters, or before there are any the cores that are known. */
    List<String> coreAddresses() {
        if (voterSet.get() != null) {
            return voterSet.get().voters().stream().map(Voter::address).toList();
        }
        final List<String> found =
                new ArrayList<>(otherCores().stream().map(NodeInfo::address).toList());
        if (context.core) {
            found.add(context.address);
        }
        return found;
    }

    /** All nodes that are known, voters too, but for this one. */
    List<String> coreAndEdgeAddresses() {
        final Set<String> found =
                new TreeSet<>(view.members().stream().map(NodeInfo::address).toList());
        if (voterSet.get() != null) {
            voterSet.get().voters().forEach(s -> found.add(s.address()));
        }
        found.remove(context.address);
        return List.copyOf(found);
    }

    List<String> otherCoreAddresses() {
        final Set<String> found =
                new TreeSet<>(otherCores().stream().map(NodeInfo::address).toList());
        found.addAll(coreAddresses());
        found.remove(context.address);
        return List.copyOf(found);
    }

    List<String> homeCores(final Set<String> regions) {
        return view.members().stream()
                .filter(m -> m.core() && regions.contains(m.region()))
                .map(NodeInfo::address)
                .toList();
    }

    /** The address of a core's seat, or its name where it has none. */
    String voterAddress(final String core) {
        final Voter voter = voterSet.get() == null ? null : voterSet.get().voter(core);
        return voter == null ? core : voter.address();
    }

    /** The edges that shared bounds are divided among: as many as are configured, else as are known or ever were here. */
    int sharingEdges() {
        if (context.settings().integer("edges") > 0) {
            return (int) context.settings().integer("edges");
        }
        if (view.changes() == sharingEdgesSeen) {
            return sharingEdgesMax;
        }
        sharingEdgesSeen = view.changes();
        int serving = context.serves ? 1 : 0;
        for (final NodeInfo member : view.members()) {
            serving += member.serves() ? 1 : 0;
        }
        sharingEdgesMax = Math.max(sharingEdgesMax, serving);
        return sharingEdgesMax;
    }

    /** Nodes configured with other counts of nodes than this one: shared bounds are divided by them. */
    List<String> differing() {
        final NodeInfo self = view.self();
        if (self.edges() == 0) {
            return List.of();
        }
        return view.members().stream()
                .filter(m -> m.edges() != 0 && (m.edges() != self.edges() || m.cores() != self.cores()))
                .map(NodeInfo::name)
                .toList();
    }
}
