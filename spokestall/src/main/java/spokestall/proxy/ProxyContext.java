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
 * What the data path of an edge works with.
 *
 * @param follower says whether the configuration here is proven fresh
 * @param proposer changes the registers of claims
 * @param counter counts what was sent to upstreams, for the usage report
 * @param sharingEdges how many edges shared bounds are divided among
 * @param homeCores the addresses of the cores in some regions
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
