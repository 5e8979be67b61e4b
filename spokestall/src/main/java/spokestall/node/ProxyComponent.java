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
    private final ConfigurationStore book;
    private final EndpointRegistry listing;
    private final LoadBalancer elector;
    private Set<String> heldBefore = Set.of();
    final AdmissionController edge;
    final UsageCounter counter;

    /** What it takes of the other parts of its node. */
    record Sources(
            NodeInfo self,
            ConfigurationStore book,
            EndpointRegistry listing,
            FeedClient follower,
            Proposer proposer,
            ResponseCache shelf,
            UpstreamClient upstreams) {}

    ProxyComponent(final NodeContext context, final PeerDirectory neighbours, final Sources sources) {
        this.context = context;
        this.neighbours = neighbours;
        this.book = sources.book();
        this.listing = sources.listing();
        this.elector = new LoadBalancer(
                context.settings().region(),
                context.settings().text("district"),
                service -> listing.ready(service, context.fleet.nowMs()),
                context.clock,
                context.fleet,
                context.random,
                context.paces().elector(neighbours::sharers));
        this.counter = new UsageCounter(
                context.name,
                context.address,
                context.life,
                context.paces().counter(),
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
                        book,
                        sources.follower(),
                        sources.proposer(),
                        elector,
                        sources.upstreams(),
                        counter,
                        sources.shelf(),
                        context.post,
                        context.clock,
                        context.fleet,
                        context.random,
                        neighbours::sharers,
                        neighbours::homeCores),
                context.paces().edge());
    }

    /** Goes by newer settings. */
    void renew() {
        elector.pace(context.paces().elector(neighbours::sharers));
        edge.pace(context.paces().edge());
    }

    void tickCounts() {
        counter.tick();
    }

    /** Forgets what was learnt of upstreams that are listed no more. */
    void retain() {
        elector.retain(listing.listed().stream().map(Endpoint::instance).collect(Collectors.toUnmodifiableSet()));
    }

    void hear(final UsageMessage.CountsHad message) {
        counter.hear(message, neighbours.seatAddress(message.name()));
    }

    /** Upstreams of a district that is given back may have turned cold while nothing was sent there. */
    void policyMoved() {
        final Set<String> now = book.policy().holds();
        for (final String district : heldBefore) {
            if (!now.contains(district)) {
                chill(district);
            }
        }
        heldBefore = Set.copyOf(now);
    }

    private void chill(final String district) {
        for (final Endpoint listed : listing.listed()) {
            final ServiceLimits rule = book.policy().service(listed.service());
            if (listed.district().equals(district) && rule != null) {
                elector.chill(
                        List.of(listed.instance()),
                        rule.warmupMs() + context.settings().part("leaveBoundMs", 0.5));
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
