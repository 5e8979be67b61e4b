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
 * The upstream endpoints that this node knows. A core also reads the platform's endpoint list, probes the endpoints,
 * and stores the list on its disk, so that it knows the upstreams immediately after a restart.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class DiscoveryComponent {
    /** The acceptor's local record of the endpoint list. Part of the stored format. */
    static final String ENDPOINT_LIST_KEY = "~listed";

    private static final int MAX_ENDPOINTS = 8192;
    /**
     * How long an endpoint is kept after it disappeared from the platform's list, as a multiple of {@code
     * leaveBoundMs}.
     */
    private static final int ABSENT_ENTRY_LEAVE_BOUNDS = 30;

    /**
     * How long after its start a core may answer without having read the list, as a fraction of {@code leaveBoundMs}:
     * the platform may be unreachable.
     */
    private static final double FIRST_READ_WAIT_LEAVE_BOUNDS = 0.25;

    private final NodeContext context;
    private final HealthSource healthSource;
    final EndpointRegistry endpointRegistry;
    // Null until open() is called, which happens on cores only.
    private EndpointListReader listReader;
    private HealthChecker healthChecker;
    private PersistedState storedList;
    private long openedMs;

    /** Creates the component with an empty registry. */
    DiscoveryComponent(final NodeContext context) {
        this.context = context;
        this.healthSource =
                context.settings().integer("probes") == 1 ? HealthSource.PROBES : HealthSource.PLATFORM_LIST;
        this.endpointRegistry = new EndpointRegistry(
                context.incarnation, MAX_ENDPOINTS, context.settings().integer("leaveBoundMs"), healthSource);
    }

    /**
     * Loads the stored list and creates the list reader and the health checker. Called once, on cores only, before the
     * first tick.
     */
    void open(final DiscoveryPeers peers, final Acceptor acceptor, final DiscoveryClient client) {
        openedMs = context.clock.nowMs();
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
            listReader.onStoredEntriesLoaded();
        }
    }

    /** Reads the platform's list and probes the endpoints once the fleet clock has settled. Called on cores only. */
    void onTick() {
        if (!context.fleetClock.settled()) {
            return;
        }
        listReader.onTick();
        if (healthSource == HealthSource.PROBES) {
            healthChecker.onTick();
        }
    }

    /**
     * Returns whether this core knows the endpoints as they were listed after its start, or has waited long enough for
     * that. Until then, nodes that it confirms as fresh could send requests to endpoints that have left while no core ran.
     */
    boolean isListCurrent() {
        return !listReader.hasOutdatedEntries()
                || context.clock.nowMs() - openedMs
                        >= context.settings().fractionOf("leaveBoundMs", FIRST_READ_WAIT_LEAVE_BOUNDS);
    }

    /** Stores the endpoint list if it changed. Called on cores only. */
    void onStoreTick() {
        storedList.tick();
    }

    /**
     * Removes endpoints that have been absent from the platform's list for too long, and outdated health observations.
     */
    void prune() {
        endpointRegistry.prune(
                context.fleetClock.nowMs() - context.settings().fractionOf("leaveBoundMs", ABSENT_ENTRY_LEAVE_BOUNDS));
    }

    /**
     * Merges the endpoints and observations that another core sent. The reported time of the last list read is capped
     * at the present time: a time in the future would keep this core from reading the list itself.
     */
    void onMessage(final DiscoveryMessage.Push push) {
        endpointRegistry.merge(push.endpoints(), push.observations());
        endpointRegistry.recordListRead(Math.min(push.listReadMs(), context.fleetClock.nowMs()));
    }
}
