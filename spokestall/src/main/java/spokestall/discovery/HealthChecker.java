package spokestall.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spokestall.gossip.NodeInfo;
import spokestall.message.MessageSender;
import spokestall.time.FleetClock;

/**
 * A core's part in probing upstreams. Each instance is probed by a few cores, chosen alike by all of them without messages.
 * A status that changed is sent to every known node at once, one that is repeated from time to time to the other cores.
 *
 * <p>Not thread-safe; all calls and callbacks on the node's event loop. Requires that the fleet's clock has settled.
 */
public final class HealthChecker {
    /**
     * How instances are probed.
     *
     * @param timeoutMillis how long an answer may take
     * @param failureThreshold after how many failed probes in a row an instance is {@link HealthStatus#DOWN}
     * @param coresPerEndpoint how many cores probe each instance
     * @param repeatMs how often an observation is repeated that didn't change
     */
    public record ProbeParameters(long timeoutMillis, int failureThreshold, int coresPerEndpoint, long repeatMs) {}

    private static final int TICKS_PER_CLEANUP = 10;

    private final NodeInfo self;
    private final EndpointRegistry registry;
    private final DiscoveryClient client;
    private final DiscoveryPeers peers;
    private final MessageSender sender;
    private final FleetClock fleetClock;
    private final ProbeParameters parameters;
    private final List<HealthObservation> changed = new ArrayList<>();
    /** Failed probes in a row, by instance. */
    private final Map<String, Integer> failures = new HashMap<>();
    /** The instances whose answer is awaited: no second probe is sent. */
    private final Set<String> probing = new HashSet<>();

    private long sentOffset;
    private int tick;

    /**
     * Creates a checker that has probed nothing.
     *
     * @param self this core's entry
     * @param registry gives the instances, and takes the observations
     * @param client probes them
     * @param peers the other cores, and the nodes that are sent observations
     * @param sender sends them
     * @param fleetClock gives observations their timestamps
     * @param parameters how instances are probed
     */
    public HealthChecker(
            final NodeInfo self,
            final EndpointRegistry registry,
            final DiscoveryClient client,
            final DiscoveryPeers peers,
            final MessageSender sender,
            final FleetClock fleetClock,
            final ProbeParameters parameters) {
        this.self = self;
        this.registry = registry;
        this.client = client;
        this.peers = peers;
        this.sender = sender;
        this.fleetClock = fleetClock;
        this.parameters = parameters;
    }

    /** Probes this core's instances, and sends the observations made since the last tick. */
    public void onTick() {
        tick++;
        final List<NodeInfo> otherCores = peers.otherCores();
        for (final Endpoint endpoint : registry.endpoints()) {
            if (endpoint.present() && probedHere(endpoint, otherCores) && probing.add(endpoint.instance())) {
                probe(endpoint);
            }
        }
        sendChanged();
        sendRepeated(otherCores);
        if (tick % TICKS_PER_CLEANUP == 0) {
            failures.keySet()
                    .retainAll(registry.endpoints().stream()
                            .map(Endpoint::instance)
                            .toList());
        }
    }

    /** Rendezvous hashing: the cores with the lowest ranks probe an instance, those of its region before all others. */
    private boolean probedHere(final Endpoint endpoint, final List<NodeInfo> otherCores) {
        int coresBefore = 0;
        final long ownRank = RendezvousRank.of(self, endpoint.instance(), endpoint.region());
        for (final NodeInfo core : otherCores) {
            coresBefore += RendezvousRank.of(core, endpoint.instance(), endpoint.region()) < ownRank ? 1 : 0;
        }
        return coresBefore < parameters.coresPerEndpoint();
    }

    private void probe(final Endpoint endpoint) {
        final long requestedMs = fleetClock.nowMs();
        client.probe(endpoint.address(), parameters.timeoutMillis(), result -> {
            probing.remove(endpoint.instance());
            if (result.isPresent()) {
                onAnswer(endpoint, result.get(), requestedMs);
            } else {
                onFailure(endpoint, requestedMs);
            }
        });
    }

    private void onFailure(final Endpoint endpoint, final long requestedMs) {
        if (failures.merge(endpoint.instance(), 1, Integer::sum) >= parameters.failureThreshold()) {
            observe(endpoint, HealthStatus.DOWN, 0, requestedMs);
        }
    }

    private void onAnswer(final Endpoint endpoint, final ProbeResult result, final long requestedMs) {
        failures.remove(endpoint.instance());
        if (!result.instance().equals(endpoint.instance()) || !result.service().equals(endpoint.service())) {
            observe(endpoint, HealthStatus.FOREIGN, 0, requestedMs);
        } else {
            observe(
                    endpoint,
                    result.leaving() ? HealthStatus.LEAVING : HealthStatus.READY,
                    fleetClock.nowMs() - result.readyForMs(),
                    requestedMs);
        }
    }

    /**
     * Merges an observation unless it is the last one again, too soon. The time since which the instance is ready counts from the
     * answer, and so is the latest that it can be.
     */
    private void observe(
            final Endpoint endpoint, final HealthStatus status, final long readySinceMs, final long requestedMs) {
        final HealthObservation last =
                registry.observation(endpoint.instance(), self.name()).orElse(null);
        final boolean unchanged = last != null
                && last.status() == status
                && WarmUpTimes.isSame(
                        last.readySinceMs(), readySinceMs - (fleetClock.nowMs() - requestedMs), readySinceMs);
        if (unchanged && requestedMs - last.timestampMs() < parameters.repeatMs()) {
            return;
        }
        final HealthObservation observation =
                new HealthObservation(endpoint.instance(), self.name(), status, readySinceMs, requestedMs);
        registry.merge(List.of(), List.of(observation));
        if (!unchanged) {
            changed.add(observation);
        }
    }

    private void sendChanged() {
        if (!changed.isEmpty()) {
            final DiscoveryMessage.Push push = new DiscoveryMessage.Push(List.of(), List.copyOf(changed), 0);
            peers.otherNodes().forEach(node -> sender.send(node.address(), push));
        }
    }

    /** Edges get repeated observations with the updates that they request. */
    private void sendRepeated(final List<NodeInfo> otherCores) {
        final List<HealthObservation> repeated = registry.observationsAfter(sentOffset).stream()
                .filter(observation -> observation.core().equals(self.name()) && !changed.contains(observation))
                .toList();
        sentOffset = registry.offset();
        changed.clear();
        if (!repeated.isEmpty()) {
            final DiscoveryMessage.Push push = new DiscoveryMessage.Push(List.of(), repeated, 0);
            otherCores.forEach(core -> sender.send(core.address(), push));
        }
    }
}
