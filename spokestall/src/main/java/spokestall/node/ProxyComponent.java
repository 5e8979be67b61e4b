package spokestall.node;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import spokestall.configuration.Configuration;
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
import spokestall.proxy.Locality;
import spokestall.proxy.ProxyContext;
import spokestall.proxy.UpstreamClient;
import spokestall.usage.EdgeIdentity;
import spokestall.usage.UsageCounter;
import spokestall.usage.UsageMessage;

/**
 * Serves clients: the admission and execution of their requests, load balancing over the upstreams, and the usage count
 * of requests that upstreams began to run.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class ProxyComponent implements GracefulShutdown.Requests {
    /**
     * How much longer than the service's slow start an upstream warms up after its zone's evacuation ended, as a ratio
     * of {@code leaveBoundMs}.
     */
    private static final double WARMUP_MARGIN_LEAVE_BOUNDS = 0.5;

    private final NodeContext context;
    private final PeerDirectory peerDirectory;
    private final ConfigurationStore configurationStore;
    private final EndpointRegistry endpointRegistry;
    private final LoadBalancer loadBalancer;
    private Set<String> evacuatedZones = Set.of();
    final AdmissionController admissionController;
    final UsageCounter usageCounter;

    /** The components of the node that the proxy uses. */
    record Sources(
            NodeInfo self,
            ConfigurationStore configurationStore,
            EndpointRegistry endpointRegistry,
            FeedClient feedClient,
            Proposer proposer,
            ResponseCache responseCache,
            UpstreamClient upstreams) {}

    ProxyComponent(final NodeContext context, final PeerDirectory peerDirectory, final Sources sources) {
        this.context = context;
        this.peerDirectory = peerDirectory;
        this.configurationStore = sources.configurationStore();
        this.endpointRegistry = sources.endpointRegistry();
        this.loadBalancer = loadBalancer();
        this.usageCounter = new UsageCounter(
                new EdgeIdentity(context.name, context.address, context.incarnation),
                context.timings().usageCounter(),
                context.clock,
                context.fleetClock,
                context.messageSender,
                peerDirectory::coreAddresses);
        this.admissionController = admissionController(sources);
    }

    private LoadBalancer loadBalancer() {
        return new LoadBalancer(
                new Locality(context.settings().region(), context.settings().text("district")),
                service -> endpointRegistry.readyUpstreams(service, context.fleetClock.nowMs()),
                context.clock,
                context.fleetClock,
                context.random,
                context.timings().loadBalancer(peerDirectory.edgeShares()));
    }

    private AdmissionController admissionController(final Sources sources) {
        return new AdmissionController(
                new ProxyContext(
                        sources.self(),
                        configurationStore,
                        sources.feedClient(),
                        sources.proposer(),
                        loadBalancer,
                        sources.upstreams(),
                        usageCounter,
                        sources.responseCache(),
                        context.messageSender,
                        context.clock,
                        context.fleetClock,
                        context.random,
                        peerDirectory.edgeShares()::edges,
                        peerDirectory::coreAddressesIn),
                context.timings().proxy());
    }

    /** Applies the node's current settings to the load balancer and the admission controller. */
    void applySettings() {
        loadBalancer.updateParameters(context.timings().loadBalancer(peerDirectory.edgeShares()));
        admissionController.limits(context.timings().proxy());
    }

    /** Sends the counts that are due. */
    void onCountTick() {
        usageCounter.onTick();
    }

    /** Removes the load balancer's state of endpoints that are no longer known. */
    void onRetainTick() {
        loadBalancer.retain(
                endpointRegistry.endpoints().stream().map(Endpoint::instance).collect(Collectors.toUnmodifiableSet()));
    }

    /** Handles a core's acknowledgement of counts. */
    void onCountsAcknowledged(final UsageMessage.CountsAcknowledged message) {
        usageCounter.onMessage(message, peerDirectory.voterAddress(message.core()));
    }

    /**
     * Restarts the slow start of upstreams in zones whose evacuation has ended, because they received no requests
     * during that time.
     */
    void onConfigurationApplied() {
        final Configuration configuration = configurationStore.configuration();
        final Set<String> evacuatedNow = configuration.drainedZones();
        for (final String zone : evacuatedZones) {
            if (!evacuatedNow.contains(zone)) {
                restartWarmup(zone, configuration);
            }
        }
        evacuatedZones = Set.copyOf(evacuatedNow);
    }

    private void restartWarmup(final String zone, final Configuration configuration) {
        final long marginMs = context.settings().fractionOf("leaveBoundMs", WARMUP_MARGIN_LEAVE_BOUNDS);
        for (final Endpoint endpoint : endpointRegistry.endpoints()) {
            final ServiceLimits limits = configuration.service(endpoint.service());
            if (endpoint.zone().equals(zone) && limits != null) {
                loadBalancer.restartSlowStart(List.of(endpoint.instance()), limits.slowStartMs() + marginMs);
            }
        }
    }

    /** Returns the number of client requests in flight. */
    int openRequests() {
        return admissionController.requestsInFlight();
    }

    @Override
    public void rejectNew() {
        admissionController.stopAdmitting();
    }

    @Override
    public int abort() {
        return admissionController.abortInFlight();
    }

    @Override
    public boolean inFlight() {
        return openRequests() > 0;
    }

    /** Stops the usage counting. */
    void stop() {
        usageCounter.stop();
    }
}
