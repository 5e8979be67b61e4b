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
    private static final int SAME_DISTRICT = 0;
    private static final int SAME_REGION = 1;
    private static final int ELSEWHERE = 2;
    private final NodeContext context;
    private final PartialView view;
    private final Supplier<VoterSet> voters;
    private int sharersMost = 1;
    private long sharersSeen = -1;

    PeerDirectory(final NodeContext context, final PartialView view, final Supplier<VoterSet> voters) {
        this.context = context;
        this.view = view;
        this.voters = voters;
    }

    /** How far the node at an address is: 0 is this node's district, 1 its region, 2 any other place. */
    int distance(final String of) {
        for (final NodeInfo member : view.members()) {
            if (member.address().equals(of)) {
                return distance(member);
            }
        }
        return ELSEWHERE;
    }

    private int distance(final NodeInfo member) {
        if (member.district().equals(context.settings().text("district"))) {
            return SAME_DISTRICT;
        }
        return member.region().equals(context.settings().region()) ? SAME_REGION : ELSEWHERE;
    }

    List<NodeInfo> otherCores() {
        return view.members().stream().filter(NodeInfo::core).toList();
    }

    /** The voters, or before there are any the cores that are known. */
    List<String> coreAddresses() {
        if (voters.get() != null) {
            return voters.get().seats().stream().map(Voter::address).toList();
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
        if (voters.get() != null) {
            voters.get().seats().forEach(s -> found.add(s.address()));
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
    String seatAddress(final String core) {
        final Voter seat = voters.get() == null ? null : voters.get().seat(core);
        return seat == null ? core : seat.address();
    }

    /** The edges that shared bounds are divided among: as many as are configured, else as are known or ever were here. */
    int sharers() {
        if (context.settings().ms("edges") > 0) {
            return (int) context.settings().ms("edges");
        }
        if (view.changes() == sharersSeen) {
            return sharersMost;
        }
        sharersSeen = view.changes();
        int serving = context.serves ? 1 : 0;
        for (final NodeInfo member : view.members()) {
            serving += member.serves() ? 1 : 0;
        }
        sharersMost = Math.max(sharersMost, serving);
        return sharersMost;
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
