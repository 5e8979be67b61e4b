package spokestall.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.discovery.DiscoveryPeers;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.proxy.EdgeShares;

/**
 * The other nodes that this node knows, from its gossip view, which may be incomplete, and from the voter set once
 * there is one.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Lists are copies in a fixed order (by name or by address).
 */
final class PeerDirectory implements DiscoveryPeers {
    private static final int SAME_ZONE = 0;
    private static final int SAME_REGION = 1;
    private static final int OTHER_REGION = 2;
    /** The longest window of a shared limit, with a margin for the time that a request is on its way. */
    private static final long LIMIT_WINDOW_MS = 1200;

    /** How long a node may wait for a core to list the edges before it shares limits with those that it knows. */
    private static final long EDGES_LEARNED_MS = 2000;

    private final NodeContext context;
    private final PartialView view;
    private final Supplier<VoterSet> voterSet;
    private final GossipEdgeShares edgeShares;

    /**
     * Creates the directory.
     *
     * @param voterSet returns the current voters, or null before there are any
     * @param reportedEdges returns the edges that a core last listed
     */
    PeerDirectory(
            final NodeContext context,
            final PartialView view,
            final Supplier<VoterSet> voterSet,
            final Supplier<List<NodeInfo>> reportedEdges) {
        this.context = context;
        this.view = view;
        this.voterSet = voterSet;
        this.edgeShares = new GossipEdgeShares(
                view,
                context.servesClients,
                () -> (int) context.settings().integer("edges"),
                reportedEdges,
                new LearningPeriod(context.clock, LIMIT_WINDOW_MS, EDGES_LEARNED_MS));
    }

    /**
     * Returns the distance to the node at an address: 0 for this node's zone, 1 for another zone of its region, 2 for
     * another region or an unknown address.
     */
    int distance(final String address) {
        for (final NodeInfo member : view.members()) {
            if (member.address().equals(address)) {
                return distance(member);
            }
        }
        return OTHER_REGION;
    }

    private int distance(final NodeInfo member) {
        if (member.zone().equals(context.settings().text("district"))) {
            return SAME_ZONE;
        }
        return member.region().equals(context.settings().region()) ? SAME_REGION : OTHER_REGION;
    }

    @Override
    public List<NodeInfo> otherCores() {
        return view.members().stream().filter(NodeInfo::core).toList();
    }

    /**
     * Returns all nodes in the view. Unlike the other lists, this is a live collection; see {@link
     * PartialView#members}.
     */
    @Override
    public Collection<NodeInfo> otherNodes() {
        return view.members();
    }

    /**
     * Returns the addresses of the voters. Before there are voters, returns the addresses of the known cores, including
     * this node if it is a core.
     */
    List<String> coreAddresses() {
        if (voterSet.get() != null) {
            return voterSet.get().voters().stream().map(Voter::address).toList();
        }
        final List<String> addresses =
                new ArrayList<>(otherCores().stream().map(NodeInfo::address).toList());
        if (context.core) {
            addresses.add(context.address);
        }
        return addresses;
    }

    /** Returns the addresses of all nodes in the view and of all voters, without this node. */
    List<String> coreAndEdgeAddresses() {
        final Set<String> addresses =
                new TreeSet<>(view.members().stream().map(NodeInfo::address).toList());
        if (voterSet.get() != null) {
            voterSet.get().voters().forEach(voter -> addresses.add(voter.address()));
        }
        addresses.remove(context.address);
        return List.copyOf(addresses);
    }

    /** Returns the addresses of all cores in the view and of all voters, without this node. */
    List<String> otherCoreAddresses() {
        final Set<String> addresses =
                new TreeSet<>(otherCores().stream().map(NodeInfo::address).toList());
        addresses.addAll(coreAddresses());
        addresses.remove(context.address);
        return List.copyOf(addresses);
    }

    /** Returns the addresses of the cores in the view that are in one of these regions. */
    List<String> coreAddressesIn(final Set<String> regions) {
        return view.members().stream()
                .filter(member -> member.core() && regions.contains(member.region()))
                .map(NodeInfo::address)
                .toList();
    }

    /** Returns the address of the voter with this name, or the name itself if there is no such voter. */
    String voterAddress(final String core) {
        final Voter voter = voterSet.get() == null ? null : voterSet.get().voter(core);
        return voter == null ? core : voter.address();
    }

    /** Returns the division of fleet-wide limits among the edges. */
    EdgeShares edgeShares() {
        return edgeShares;
    }

    /**
     * Returns the names of nodes configured with different counts of cores or edges than this node. Limits are divided
     * by these counts.
     */
    List<String> peersWithDifferingCounts() {
        final NodeInfo self = view.self();
        if (self.edges() == 0) {
            return List.of();
        }
        return view.members().stream()
                .filter(member ->
                        member.edges() != 0 && (member.edges() != self.edges() || member.cores() != self.cores()))
                .map(NodeInfo::name)
                .toList();
    }
}
