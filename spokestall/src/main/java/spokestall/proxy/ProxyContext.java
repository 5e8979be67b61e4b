package spokestall.proxy;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Proposer;
import spokestall.gossip.NodeInfo;
import spokestall.handoff.ResponseCache;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;
import spokestall.usage.UsageCounter;

/**
 * Dependencies of an edge's data path.
 *
 * @param feedClient holds the freshness lease, which proves that this node's configuration is the newest
 * @param proposer reads and writes the registers of claims
 * @param usageCounter counts the attempts sent to upstreams, for the usage report
 * @param sharingEdges returns the number of edges that fleet-wide limits are divided among
 * @param homeCores returns the addresses of the cores in the given regions
 */
public record ProxyContext(
        NodeInfo self,
        ConfigurationStore configurationStore,
        FeedClient feedClient,
        Proposer proposer,
        LoadBalancer loadBalancer,
        UpstreamClient upstreamClient,
        UsageCounter usageCounter,
        ResponseCache responseCache,
        MessageSender messageSender,
        Clock clock,
        FleetClock fleetClock,
        Random random,
        IntSupplier sharingEdges,
        Function<Set<String>, List<String>> homeCores) {}
