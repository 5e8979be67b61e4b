package spokestall.node;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import spokestall.settings.Settings;

/**
 * Schedules the periodic tasks of a node, and the more frequent requests during its startup.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Periods are read from the settings once, at startup. The
 * order in which the tasks are scheduled is part of the contract, because each task draws its first delay from the
 * node's random source.
 */
final class NodeSchedule {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /**
     * A starting node sends a feed request on each of its first attempts, up to this number. After that it sends one on
     * every attempt while the voters are known and freshness is not yet proved, else only on every attempt that is a
     * multiple of twice this number.
     */
    private static final int FAST_ATTEMPTS = 4;
    /**
     * How long a starting node sends requests more often than its regular periods, and the interval between these
     * requests, as ratios of {@code leaveBoundMs}.
     */
    private static final double FAST_START_LEAVE_BOUNDS = 1.5;

    private static final double FAST_PERIOD_LEAVE_BOUNDS = 0.03;
    /** How long a core keeps an edge that sends no request, as a multiple of {@code leaveBoundMs}. */
    private static final int EDGE_KEPT_LEAVE_BOUNDS = 2;

    private final NodeComponents components;
    private final NodeContext context;
    private final Ticker ticker;

    NodeSchedule(final NodeComponents components, final Ticker ticker) {
        this.components = components;
        this.context = components.context;
        this.ticker = ticker;
    }

    /** Starts all periodic tasks; they end when the ticker is stopped. */
    void start() {
        final Settings settings = context.settings();
        fastStart(context.clock.nowMs() + settings.fractionOf("leaveBoundMs", FAST_START_LEAVE_BOUNDS), 0);
        ticker.every(settings.fractionOf("leaveBoundMs", 0.125), () -> {
            components.view.onTick();
            components.knownEdges.publish();
        });
        ticker.every(settings.integer("proofMs"), () -> {
            components.feedClient.onTick();
            components.knownEdges.publish();
        });
        if (context.core) {
            startCore(settings);
        }
        final ProxyComponent proxy = components.proxy;
        if (proxy != null) {
            ticker.every(settings.integer("countPushMs"), proxy::onCountTick);
            ticker.every(settings.fractionOf("leaveBoundMs", 1), proxy::onRetainTick);
        }
        ticker.every(settings.fractionOf("leaveBoundMs", 2), this::warnOfDifferingCounts);
        ticker.every(settings.fractionOf("leaveBoundMs", 2), components.discovery::prune);
    }

    private void startCore(final Settings settings) {
        final UsageComponent usage = components.usage;
        final CoreStorage storage = components.storage;
        ticker.every(settings.fractionOf("leaveBoundMs", 0.0625), components.membership::onTick);
        ticker.every(settings.fractionOf("leaveBoundMs", 0.125), components.discovery::onTick);
        ticker.every(
                settings.fractionOf("leaseMs", 0.1),
                () -> usage.tickLease(components.view.self().leaving()));
        ticker.every(settings.fractionOf("reportDueMs", 0.01), usage.reporter::onTick);
        ticker.every(settings.fractionOf("keyBoundMs", 0.2), this::pruneCore);
        ticker.every(settings.integer("countPushMs"), usage::tickPersistedCounts);
        ticker.every(settings.integer("listMs"), components.discovery::onStoreTick);
        ticker.every(settings.fractionOf("keyBoundMs", 0.02), usage::mergeCountsFromDisk);
        ticker.every(settings.fractionOf("keyBoundMs", 0.1), components.audit::onTick);
        ticker.every(settings.fractionOf("keyBoundMs", 0.02), () -> storage.applyFirstVersion(components.feedClient));
    }

    private void pruneCore() {
        components.feedServer.pruneEdges(context.settings().fractionOf("leaveBoundMs", EDGE_KEPT_LEAVE_BOUNDS));
        components.storage.pruneRegisters();
    }

    /**
     * Warns if other nodes are configured with different counts of cores or edges: limits of the whole fleet are
     * divided by these counts, so nodes must agree on them.
     */
    private void warnOfDifferingCounts() {
        final List<String> differing = components.peerDirectory.peersWithDifferingCounts();
        if (!differing.isEmpty()) {
            LOG.atWarning().log(
                    "event=counts_differ node=%s cores=%s edges=%s from=%s",
                    context.name,
                    context.settings().integer("cores"),
                    context.settings().integer("edges"),
                    differing);
        }
    }

    /**
     * Sends requests at a higher rate than the regular periods, until this node has the state that it needs to serve or
     * {@code untilMs} has passed.
     */
    private void fastStart(final long untilMs, final int attempt) {
        if (ticker.stopped() || startupComplete() || context.clock.nowMs() >= untilMs) {
            return;
        }
        final boolean votersKnown = components.voterSet() != null;
        components.view.announce(votersKnown ? components.peerDirectory.coreAddresses() : List.of());
        components.knownEdges.publish();
        // Without voters no freshness can be proved, and bootstrap takes seconds, so requests become less frequent
        // then.
        final boolean proofPossible = votersKnown && !components.feedClient.isFresh();
        if (proofPossible || attempt < FAST_ATTEMPTS || attempt % (2 * FAST_ATTEMPTS) == 0) {
            components.feedClient.onTick();
        }
        context.clock.after(
                context.settings().fractionOf("leaveBoundMs", FAST_PERIOD_LEAVE_BOUNDS),
                () -> fastStart(untilMs, attempt + 1));
    }

    private boolean startupComplete() {
        return context.fleetClock.settled()
                && components.feedClient.isFresh()
                && (components.proxy == null
                        || !components.discovery.endpointRegistry.endpoints().isEmpty());
    }
}
