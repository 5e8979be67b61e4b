package spokestall.node;

import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Proposer;
import spokestall.consensus.VoterSet;
import spokestall.discovery.EndpointListReader;
import spokestall.discovery.HealthChecker;
import spokestall.gossip.ViewParameters;
import spokestall.lease.LeaseTimeouts;
import spokestall.membership.BootstrapProposer;
import spokestall.membership.GracefulHandover;
import spokestall.membership.MembershipSettings;
import spokestall.membership.MembershipTimeouts;
import spokestall.proxy.EdgeShares;
import spokestall.proxy.LoadBalancerParameters;
import spokestall.proxy.ProxyLimits;
import spokestall.proxy.RequestConventions;
import spokestall.settings.Settings;
import spokestall.usage.CounterLimits;
import spokestall.usage.ReportSchedule;

/**
 * Derives each component's periods, timeouts and bounds from the settings. The settings contain only a few bounds that
 * matter to operators; all other values are ratios of these, so that one setting scales everything that depends on it.
 *
 * <p>Immutable; a node creates a new instance whenever its settings change.
 */
final class Timings {
    /** The number of nodes assumed where a bound needs a count that is not configured. */
    private static final int DEFAULT_NODE_COUNT = VoterSet.VOTERS_MAX;
    /** The first message version in which a response may omit data that the requester already has. */
    private static final int OMISSIONS_SINCE_VERSION = 3;

    /** The maximum number of members in one gossip message. */
    private static final int GOSSIP_SAMPLE = 6;
    /** The maximum number of attempts of one proposal. */
    private static final int PROPOSAL_ATTEMPTS = 64;
    /** The maximum number of unanswered requests for a proof of freshness. */
    private static final int OPEN_FRESHNESS_REQUESTS = 32;

    private static final double CALL_LEASE_DUE_RATIO = 0.6;

    /** One in so many requests for updates goes to a core that is not the nearest one. */
    private static final int CORE_SOURCE_PROBE_INTERVAL = 8;

    private static final int EDGE_SOURCE_PROBE_INTERVAL = 64;
    /** The number of consecutive failed health checks after which an upstream is down. */
    private static final int FAILED_CHECKS_UNTIL_DOWN = 2;
    /** The number of cores that check each upstream. */
    private static final int CORES_PER_HEALTH_CHECK = 2;

    private static final int USAGE_WINDOWS_KEPT = 3;
    /** The maximum number of attempts of one client request. */
    private static final int REQUEST_ATTEMPTS = 3;
    /** The ratio of the setting {@code retryShare} that the proxy uses. */
    private static final double RETRY_SHARE_RATIO = 0.9;

    private static final long SHUTDOWN_CHECK_MS = 20;
    private static final int MILLIS_PER_SECOND = 1000;

    private final Settings settings;
    private final boolean core;

    Timings(final Settings settings, final boolean core) {
        this.settings = settings;
        this.core = core;
    }

    private int countOrDefault(final String count) {
        return settings.integer(count) == 0 ? DEFAULT_NODE_COUNT : (int) settings.integer(count);
    }

    /**
     * Returns the maximum size of a configuration in bytes. A configuration must fit into one record of the cores'
     * logs, together with the rest of a new generation's initial state.
     */
    int configurationMaxBytes() {
        return (int) Math.min(settings.integer("policyMaxBytes"), settings.integer("ringSegmentBytes") / 2);
    }

    /** Returns the length of a usage window in milliseconds. The counts of one window are reported together. */
    long windowMs() {
        return settings.integer("reportWindowS") * MILLIS_PER_SECOND;
    }

    /** Returns the time within which a change to the configuration is answered. */
    long changeMs() {
        return settings.fractionOf("policyBoundMs", 0.8);
    }

    /** Returns the parameters of the partial view: its sizes, and the time after which a silent member is removed. */
    ViewParameters partialView() {
        return new ViewParameters(
                2 * (countOrDefault("cores") + countOrDefault("edges")),
                GOSSIP_SAMPLE,
                settings.fractionOf("leaveBoundMs", 4),
                settings.fractionOf("leaveBoundMs", 1));
    }

    /** Returns the parameters of proposals. One round waits for several round trips between the most distant nodes. */
    Proposer.Timing proposer() {
        final long farMs = settings.integer("farMs");
        return new Proposer.Timing(4 * farMs, Math.max(1, farMs / 2), PROPOSAL_ATTEMPTS);
    }

    /** Returns the parameters of the configuration feed. */
    FeedClient.Timings feedClient() {
        return new FeedClient.Timings(
                settings.integer("freshMs"),
                OPEN_FRESHNESS_REQUESTS,
                3 * settings.integer("proofMs"),
                core ? CORE_SOURCE_PROBE_INTERVAL : EDGE_SOURCE_PROBE_INTERVAL,
                settings.integer("noteVersion") < OMISSIONS_SINCE_VERSION);
    }

    /** Returns the parameters of the fleet's bootstrap. */
    BootstrapProposer.Timeouts bootstrapProposer() {
        return new BootstrapProposer.Timeouts(
                settings.fractionOf("leaveBoundMs", 0.5),
                settings.fractionOf("leaveBoundMs", 0.25),
                8 * settings.integer("farMs"));
    }

    /** Returns the parameters of voter set changes. */
    MembershipSettings membership() {
        return new MembershipSettings(
                (int) settings.integer("cores"),
                settings.integer("noteVersion") < OMISSIONS_SINCE_VERSION
                        ? MembershipSettings.VoterSetInStatus.ALWAYS
                        : MembershipSettings.VoterSetInStatus.WHEN_RECIPIENT_MAY_LACK_IT,
                new MembershipTimeouts(
                        settings.fractionOf("leaveBoundMs", 0.6),
                        settings.fractionOf("leaveBoundMs", 0.15),
                        settings.fractionOf("leaveBoundMs", 0.75),
                        8 * settings.integer("farMs"),
                        settings.fractionOf("leaveBoundMs", 0.25),
                        settings.fractionOf("leaveBoundMs", 0.5),
                        settings.fractionOf("leaveBoundMs", 8)));
    }

    /** Returns the parameters of the handover of a core that shuts down. */
    GracefulHandover.Timeouts handover() {
        return new GracefulHandover.Timeouts(2 * settings.integer("farMs"), 6 * settings.integer("farMs"));
    }

    /** Returns the schedule for reading the platform's endpoint list. */
    EndpointListReader.Schedule endpointList() {
        return new EndpointListReader.Schedule(settings.integer("listMs"), settings.fractionOf("leaveBoundMs", 0.5));
    }

    /** Returns the parameters of health checks. */
    HealthChecker.ProbeParameters probes() {
        return new HealthChecker.ProbeParameters(
                settings.fractionOf("leaveBoundMs", 0.25),
                FAILED_CHECKS_UNTIL_DOWN,
                CORES_PER_HEALTH_CHECK,
                settings.fractionOf("leaveBoundMs", 0.25));
    }

    /** Returns the parameters of usage counting. */
    CounterLimits usageCounter() {
        return new CounterLimits(
                windowMs(),
                settings.fractionOf("reportDueMs", 0.1),
                USAGE_WINDOWS_KEPT,
                settings.integer("uncountedMs"),
                (int) settings.integer("cores"),
                settings.integer("farMs") / 2);
    }

    /** Returns the parameters of the usage report, as ratios of the time by which a report is due. */
    ReportSchedule reporter() {
        return new ReportSchedule(
                windowMs(),
                settings.fractionOf("reportDueMs", 0.15),
                settings.fractionOf("reportDueMs", 0.5),
                settings.fractionOf("reportDueMs", 0.03),
                settings.integer("reportDueMs"),
                settings.fractionOf("reportDueMs", 0.25),
                settings.fractionOf("leaseMs", 0.4),
                settings.fractionOf("leaseMs", 0.4),
                settings.number("dutiesPerS"));
    }

    /** Returns the parameters of the lease on reporting usage. */
    LeaseTimeouts lease() {
        return new LeaseTimeouts(
                settings.integer("leaseMs"),
                Math.max(settings.integer("leaseMs"), settings.fractionOf("reportDueMs", CALL_LEASE_DUE_RATIO)),
                settings.fractionOf("leaseMs", 0.2),
                settings.fractionOf("leaseMs", 0.4),
                settings.fractionOf("leaseMs", 0.1),
                2 * settings.integer("farMs"),
                settings.integer("maxRunMs"),
                settings.integer("restMs"));
    }

    /** Returns the parameters of the load balancer; fleet-wide bounds are divided by the number of edges. */
    LoadBalancerParameters loadBalancer(final EdgeShares shares) {
        return new LoadBalancerParameters(
                new LoadBalancerParameters.SlowStartLimits(
                        shares, settings.number("warmRatio"), settings.number("warmSlack"), settings.integer("farMs")),
                new LoadBalancerParameters.EjectionTimes(
                        settings.fractionOf("leaveBoundMs", 0.25), settings.fractionOf("leaveBoundMs", 2)),
                new LoadBalancerParameters.DistanceCosts(
                        settings.number("districtCost"), settings.number("regionCost")));
    }

    /** Returns the parameters of the admission and execution of client requests. */
    ProxyLimits proxy() {
        return new ProxyLimits(
                (int) settings.integer("askOpenMax"),
                settings.integer("heldMaxBytes"),
                settings.integer("claimKeepMs"),
                20 * settings.integer("farMs"),
                4 * settings.integer("farMs"),
                settings.integer("retryAfterMs"),
                REQUEST_ATTEMPTS,
                settings.number("retryShare") * RETRY_SHARE_RATIO,
                settings.number("retryAllowance"),
                settings.integer("askSpanMaxMs"),
                settings.fractionOf("claimKeepMs", 0.01),
                new RequestConventions(
                        settings.integer("keyed") == 1,
                        settings.integer("claims") == 1,
                        settings.integer("homeEdges") == 1,
                        settings.integer("holdsEdges") == 1,
                        settings.integer("unsentFree") == 1,
                        settings.integer("any500") == 1));
    }

    /** Returns the phases of the graceful shutdown, as ratios of its maximum duration. */
    GracefulShutdown.Timing gracefulShutdown() {
        return GracefulShutdown.Timing.within(settings.integer("stopWaitMs"), SHUTDOWN_CHECK_MS);
    }
}
