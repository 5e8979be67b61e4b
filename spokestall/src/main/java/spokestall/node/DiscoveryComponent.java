package spokestall.node;

import java.util.List;
import spokestall.consensus.Acceptor;
import spokestall.discovery.DiscoveryClient;
import spokestall.discovery.DiscoveryMessage;
import spokestall.discovery.DiscoveryPeers;
import spokestall.discovery.EndpointListReader;
import spokestall.discovery.EndpointRegistry;
import spokestall.discovery.HealthChecker;
import spokestall.discovery.HealthSource;

/**
 * What this node knows of upstreams. A core also reads the platform's list, probes, and stores the list on its disk, so that
 * it knows the upstreams again as soon as it starts.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class DiscoveryComponent {
    /** The key of the stored list; part of the disk's format. */
    static final String ENDPOINT_LIST_KEY = "~listed";

    private static final int MAX_ENDPOINTS = 8192;
    /** For how many leave bounds an entry is kept that is no more listed. */
    private static final int ABSENT_ENTRY_LEAVE_BOUNDS = 30;

    private final NodeContext context;
    private final HealthSource healthSource;
    final EndpointRegistry endpointRegistry;
    // Null before open, which is called on cores only.
    private EndpointListReader listReader;
    private HealthChecker healthChecker;
    private PersistedState storedList;

    /** Creates the component with an empty registry. */
    DiscoveryComponent(final NodeContext context) {
        this.context = context;
        this.healthSource =
                context.settings().integer("probes") == 1 ? HealthSource.PROBES : HealthSource.PLATFORM_LIST;
        this.endpointRegistry = new EndpointRegistry(
                context.incarnation, MAX_ENDPOINTS, context.settings().integer("leaveBoundMs"), healthSource);
    }

    /** Prepares a core, once, before its first tick: loads the stored list and creates what reads and probes. */
    void open(final DiscoveryPeers peers, final Acceptor acceptor, final DiscoveryClient client) {
        listReader = new EndpointListReader(
                context.self().name(),
                endpointRegistry,
                client,
                peers,
                context.messageSender,
                context.fleetClock,
                context.timings().endpointList());
        healthChecker = new HealthChecker(
                context.self(),
                endpointRegistry,
                client,
                peers,
                context.messageSender,
                context.fleetClock,
                context.timings().probes());
        storedList = new PersistedState(
                acceptor,
                ENDPOINT_LIST_KEY,
                endpointRegistry::version,
                () -> new DiscoveryMessage.Push(endpointRegistry.endpoints(), List.of(), 0));
        final DiscoveryMessage.Push stored = storedList.read(DiscoveryMessage.Push.class);
        if (stored != null) {
            endpointRegistry.merge(stored.endpoints(), List.of());
        }
    }

    /** On a core: reads the list and probes, once the fleet's clock has settled. */
    void onTick() {
        if (!context.fleetClock.settled()) {
            return;
        }
        listReader.onTick();
        if (healthSource == HealthSource.PROBES) {
            healthChecker.onTick();
        }
    }

    /** On a core: stores the list if it changed. */
    void onStoreTick() {
        storedList.tick();
    }

    /** Removes entries that have not been listed for long, and old observations. */
    void prune() {
        endpointRegistry.prune(
                context.fleetClock.nowMs() - context.settings().fractionOf("leaveBoundMs", ABSENT_ENTRY_LEAVE_BOUNDS));
    }

    /** Merges what another core sent. A time of reading that lies in the future would keep this core from reading. */
    void onMessage(final DiscoveryMessage.Push push) {
        endpointRegistry.merge(push.endpoints(), push.observations());
        endpointRegistry.recordListRead(Math.min(push.listReadMs(), context.fleetClock.nowMs()));
    }
}
