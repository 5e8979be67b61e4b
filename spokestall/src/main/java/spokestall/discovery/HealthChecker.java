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
 * Active health checker of a core. A few cores probe each instance; all cores compute the same assignment without messages. The
 * checker sends a changed status to all known nodes on the next tick, and repeats an unchanged one periodically to the other
 * cores.
 *
 * <p>Not thread-safe; all calls and callbacks on the node's event loop. Requires that the fleet's clock has settled.
 */
public final class HealthChecker {
    /**
     * Parameters of the probes.
     *
     * @param timeoutMillis the time-out of a probe
     * @param failureThreshold the number of consecutive failed probes after which an instance is {@link HealthStatus#DOWN}
     * @param coresPerEndpoint the number of cores that probe each instance
     * @param repeatMs the interval at which an unchanged observation is repeated
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
    /** Number of consecutive failed probes by instance. */
    private final Map<String, Integer> failures = new HashMap<>();
    /** The instances with a pending probe; no second probe is sent to them. */
    private final Set<String> probing = new HashSet<>();

    private long sentOffset;
    private int tick;

    /**
     * Creates a checker that hasn't probed any instance yet.
     *
     * @param self this core's entry
     * @param registry the registry with the instances, which also receives the observations
     * @param client sends the probes
     * @param peers the other cores, and the nodes that observations are sent to
     * @param sender sends the messages
     * @param fleetClock the clock for timestamps of observations
     * @param parameters the parameters of the probes
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

    /** Probes the instances assigned to this core and sends the observations made since the last tick. */
    public void onTick() {
        tick++;
        final List<NodeInfo> otherCores = peers.otherCores();
        for (final Endpoint endpoint : registry.endpoints()) {
            if (endpoint.present() && isAssigned(endpoint, otherCores) && probing.add(endpoint.instance())) {
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

    /** Whether this core probes an instance. Rendezvous hashing selects the cores, those of the instance's region first. */
    private boolean isAssigned(final Endpoint endpoint, final List<NodeInfo> otherCores) {
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
     * Merges an observation, unless it is unchanged and the interval for repeating it hasn't passed. {@code readySinceMs} is
     * computed from the arrival of the response, so it is the latest possible time.
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

    /** Sends repeated observations to the other cores; edges receive them with the updates that they request. */
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
