package spokestall.node;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.ServiceLimits;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Proposer;
import spokestall.discovery.Endpoint;
import spokestall.discovery.EndpointRegistry;
import spokestall.gossip.NodeInfo;
import spokestall.handoff.ResponseCache;
import spokestall.proxy.AdmissionController;
import spokestall.proxy.LoadBalancer;
import spokestall.proxy.ProxyContext;
import spokestall.proxy.UpstreamClient;
import spokestall.usage.UsageCounter;
import spokestall.usage.UsageMessage;

/** The part of a node that answers clients: their requests, the choice of upstreams, and the count of what was begun. */
final class ProxyComponent implements GracefulShutdown.Requests {
    private final NodeContext context;
    private final PeerDirectory neighbours;
    private final ConfigurationStore configurationStore;
    private final EndpointRegistry endpointRegistry;
    private final LoadBalancer loadBalancer;
    private Set<String> heldBefore = Set.of();
    final AdmissionController edge;
    final UsageCounter counter;

    /** What it takes of the other parts of its node. */
    record Sources(
            NodeInfo self,
            ConfigurationStore configurationStore,
            EndpointRegistry endpointRegistry,
            FeedClient follower,
            Proposer proposer,
            ResponseCache responseCache,
            UpstreamClient upstreams) {}

    ProxyComponent(final NodeContext context, final PeerDirectory neighbours, final Sources sources) {
        this.context = context;
        this.neighbours = neighbours;
        this.configurationStore = sources.configurationStore();
        this.endpointRegistry = sources.endpointRegistry();
        this.loadBalancer = new LoadBalancer(
                context.settings().region(),
                context.settings().text("district"),
                service -> endpointRegistry.ready(service, context.fleet.nowMs()),
                context.clock,
                context.fleet,
                context.random,
                context.timings().loadBalancer(neighbours::sharingEdges));
        this.counter = new UsageCounter(
                context.name,
                context.address,
                context.incarnation,
                context.timings().counter(),
                context.clock,
                context.fleet,
                context.post,
                neighbours::coreAddresses);
        this.edge = edge(sources);
    }

    private AdmissionController edge(final Sources sources) {
        return new AdmissionController(
                new ProxyContext(
                        sources.self(),
                        configurationStore,
                        sources.follower(),
                        sources.proposer(),
                        loadBalancer,
                        sources.upstreams(),
                        counter,
                        sources.responseCache(),
                        context.post,
                        context.clock,
                        context.fleet,
                        context.random,
                        neighbours::sharingEdges,
                        neighbours::homeCores),
                context.timings().edge());
    }

    /** Goes by newer settings. */
    void renew() {
        loadBalancer.timing(context.timings().loadBalancer(neighbours::sharingEdges));
        edge.timing(context.timings().edge());
    }

    void tickCounts() {
        counter.tick();
    }

    /** Forgets what was learnt of upstreams that are listed no more. */
    void retain() {
        loadBalancer.retain(
                endpointRegistry.listed().stream().map(Endpoint::instance).collect(Collectors.toUnmodifiableSet()));
    }

    void hear(final UsageMessage.CountsAcknowledged message) {
        counter.hear(message, neighbours.voterAddress(message.name()));
    }

    /** Upstreams of a zone that is given back may have turned cold while nothing was sent there. */
    void configurationMoved() {
        final Set<String> now = configurationStore.configuration().holds();
        for (final String zone : heldBefore) {
            if (!now.contains(zone)) {
                chill(zone);
            }
        }
        heldBefore = Set.copyOf(now);
    }

    private void chill(final String zone) {
        for (final Endpoint listed : endpointRegistry.listed()) {
            final ServiceLimits rule = configurationStore.configuration().service(listed.service());
            if (listed.zone().equals(zone) && rule != null) {
                loadBalancer.chill(
                        List.of(listed.instance()),
                        rule.warmupMs() + context.settings().fractionOf("leaveBoundMs", 0.5));
            }
        }
    }

    int openRequests() {
        return edge.open();
    }

    @Override
    public void deny() {
        edge.leave();
    }

    @Override
    public void giveUp() {
        edge.giveUp();
    }

    @Override
    public boolean open() {
        return openRequests() > 0;
    }

    /** Nothing more is counted. */
    void stop() {
        counter.stop();
    }
}
