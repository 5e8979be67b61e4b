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
                context.settings().integer("leaveBoundMs"),
                context.settings().integer("probes") == 1);
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
                endpointRegistry::changes,
                () -> new DiscoveryMessage.Push(endpointRegistry.listed(), List.of(), 0));
        final DiscoveryMessage.Push before = kept.read(DiscoveryMessage.Push.class);
        if (before != null) {
            endpointRegistry.merge(before.listed(), List.of());
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
        endpointRegistry.prune(context.fleet.nowMs() - context.settings().fractionOf("leaveBoundMs", ABSENT_BOUNDS));
    }

    void hear(final DiscoveryMessage.Push push) {
        endpointRegistry.merge(push.listed(), push.reports());
        endpointRegistry.read(Math.min(push.readMs(), context.fleet.nowMs()));
    }
}
