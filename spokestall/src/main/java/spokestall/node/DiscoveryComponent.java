package spokestall.node;

import java.util.List;
import spokestall.consensus.Acceptor;
import spokestall.discovery.DiscoveryMessage;
import spokestall.discovery.EndpointRegistry;
import spokestall.discovery.HealthChecker;
import spokestall.gossip.PartialView;

/** What this node knows of upstreams; a core reads the list and probes too, and stores the list on its disk. */
final class DiscoveryComponent {
    static final String KEPT = "~listed";
    private static final int LISTED_MAX = 8192;
    /** For how many leave bounds an entry is kept that is absent. */
    private static final int ABSENT_BOUNDS = 30;

    private final NodeContext context;
    private HealthChecker prober;
    private PersistedState kept;
    final EndpointRegistry endpointRegistry;

    DiscoveryComponent(final NodeContext context) {
        this.context = context;
        this.endpointRegistry = new EndpointRegistry(
                context.incarnation,
                LISTED_MAX,
                context.settings().ms("leaveBoundMs"),
                context.settings().ms("probes") == 1);
    }

    /** On a core: reads what its disk has from before, and is ready to probe. */
    void open(
            final PeerDirectory neighbours,
            final PartialView view,
            final Acceptor acceptor,
            final HealthChecker.Reach reach) {
        prober = new HealthChecker(
                context.self(),
                endpointRegistry,
                reach,
                context.post,
                context.fleet,
                context.timings().prober(),
                neighbours::otherCores,
                view::members);
        kept = new PersistedState(
                acceptor,
                KEPT,
                endpointRegistry::version,
                () -> new DiscoveryMessage.Push(endpointRegistry.endpoints(), List.of(), 0));
        final DiscoveryMessage.Push before = kept.read(DiscoveryMessage.Push.class);
        if (before != null) {
            endpointRegistry.merge(before.endpoints(), List.of());
        }
    }

    void tick() {
        prober.tick();
    }

    void tickKept() {
        kept.tick();
    }

    /** Lets go of what has been absent for long. */
    void prune() {
        endpointRegistry.prune(context.fleet.nowMs() - context.settings().part("leaveBoundMs", ABSENT_BOUNDS));
    }

    void onMessage(final DiscoveryMessage.Push push) {
        endpointRegistry.merge(push.endpoints(), push.observations());
        endpointRegistry.recordListRead(Math.min(push.listReadMs(), context.fleet.nowMs()));
    }
}
