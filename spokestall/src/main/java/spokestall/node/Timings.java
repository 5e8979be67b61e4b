package spokestall.node;

import java.util.function.IntSupplier;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Proposer;
import spokestall.consensus.VoterSet;
import spokestall.discovery.HealthChecker;
import spokestall.gossip.PartialView;
import spokestall.lease.LeaseManager;
import spokestall.membership.BootstrapProposer;
import spokestall.membership.GracefulHandover;
import spokestall.membership.MembershipCoordinator;
import spokestall.proxy.LoadBalancer;
import spokestall.proxy.ProxyLimits;
import spokestall.proxy.RequestConventions;
import spokestall.settings.Settings;
import spokestall.usage.UsageCounter;
import spokestall.usage.UsageReporter;

/**
 * Derives each component's periods, time-outs and bounds from the settings. The settings give a few bounds that operators care
 * about; all else is a ratio of these, so that one setting scales everything that depends on it.
 *
 * <p>Immutable; a node creates a new one whenever its settings change.
 */
final class Timings {
    /** Used for a count of nodes that is not configured, where a bound is needed. */
    private static final int UNCONFIGURED_COUNT = VoterSet.VOTERS_MAX;
    /** The version of messages since which a response may omit what the requester has. */
    private static final int OMISSIONS_SINCE = 3;

    private final Settings settings;
    private final boolean core;

    Timings(final Settings settings, final boolean core) {
        this.settings = settings;
        this.core = core;
    }

    private int countOrBound(final String count) {
        return settings.integer(count) == 0 ? UNCONFIGURED_COUNT : (int) settings.integer(count);
    }

    /**
     * Returns the largest size of a configuration in bytes: one must fit into a record of the cores' logs, together with all else
     * of a new generation's initial state.
     */
    int configurationMaxBytes() {
        return (int) Math.min(settings.integer("policyMaxBytes"), settings.integer("ringSegmentBytes") / 2);
    }

    /** Returns the length of a usage window, whose counts are reported together. */
    long windowMs() {
        return settings.integer("reportWindowS") * 1000;
    }

    /** Returns for how long a change to the configuration may take before it is answered. */
    long changeMs() {
        return settings.fractionOf("policyBoundMs", 0.8);
    }

    PartialView.Timing view() {
        return new PartialView.Timing(
                2 * (countOrBound("cores") + countOrBound("edges")),
                6,
                settings.fractionOf("leaveBoundMs", 4),
                settings.fractionOf("leaveBoundMs", 1));
    }

    Proposer.Timing proposer() {
        final long farMs = settings.integer("farMs");
        return new Proposer.Timing(4 * farMs, Math.max(1, farMs / 2), 64);
    }

    FeedClient.Timing feedClient() {
        return new FeedClient.Timing(
                settings.integer("freshMs"),
                32,
                3 * settings.integer("proofMs"),
                core ? 8 : 64,
                settings.integer("noteVersion") < OMISSIONS_SINCE);
    }

    BootstrapProposer.Timing bootstrapProposer() {
        return new BootstrapProposer.Timing(
                settings.fractionOf("leaveBoundMs", 0.5),
                settings.fractionOf("leaveBoundMs", 0.25),
                8 * settings.integer("farMs"));
    }

    MembershipCoordinator.Timing membershipCoordinator() {
        return new MembershipCoordinator.Timing(
                (int) settings.integer("cores"),
                settings.fractionOf("leaveBoundMs", 0.6),
                settings.fractionOf("leaveBoundMs", 0.15),
                settings.fractionOf("leaveBoundMs", 0.75),
                8 * settings.integer("farMs"),
                settings.fractionOf("leaveBoundMs", 0.25),
                settings.integer("noteVersion") < OMISSIONS_SINCE,
                settings.fractionOf("leaveBoundMs", 0.5),
                settings.fractionOf("leaveBoundMs", 8));
    }

    GracefulHandover.Timing handover() {
        return new GracefulHandover.Timing(2 * settings.integer("farMs"), 6 * settings.integer("farMs"));
    }

    HealthChecker.Timing prober() {
        return new HealthChecker.Timing(
                settings.fractionOf("leaveBoundMs", 0.25),
                settings.fractionOf("leaveBoundMs", 0.5),
                2,
                2,
                settings.integer("listMs"),
                settings.fractionOf("leaveBoundMs", 0.25),
                settings.integer("probes") == 1);
    }

    UsageCounter.Timing usageCounter() {
        return new UsageCounter.Timing(
                windowMs(),
                settings.fractionOf("reportDueMs", 0.1),
                3,
                settings.integer("uncountedMs"),
                (int) settings.integer("cores"),
                settings.integer("farMs") / 2);
    }

    UsageReporter.Timing reporter() {
        return new UsageReporter.Timing(
                windowMs(),
                settings.fractionOf("reportDueMs", 0.15),
                settings.fractionOf("reportDueMs", 0.5),
                settings.fractionOf("reportDueMs", 0.03),
                settings.integer("reportDueMs"),
                settings.fractionOf("leaseMs", 0.4),
                settings.fractionOf("leaseMs", 0.4),
                settings.number("dutiesPerS"));
    }

    LeaseManager.Timing lease() {
        return new LeaseManager.Timing(
                settings.integer("leaseMs"),
                settings.fractionOf("leaseMs", 0.2),
                settings.fractionOf("leaseMs", 0.4),
                settings.fractionOf("leaseMs", 0.1),
                2 * settings.integer("farMs"),
                settings.integer("maxRunMs"),
                settings.integer("restMs"));
    }

    LoadBalancer.Timing loadBalancer(final IntSupplier sharingEdges) {
        return new LoadBalancer.Timing(
                sharingEdges,
                settings.number("warmRatio"),
                settings.number("warmSlack"),
                settings.fractionOf("leaveBoundMs", 0.25),
                settings.fractionOf("leaveBoundMs", 2),
                settings.number("districtCost"),
                settings.number("regionCost"));
    }

    ProxyLimits proxy() {
        return new ProxyLimits(
                (int) settings.integer("askOpenMax"),
                settings.integer("heldMaxBytes"),
                settings.integer("claimKeepMs"),
                20 * settings.integer("farMs"),
                4 * settings.integer("farMs"),
                settings.integer("retryAfterMs"),
                3,
                settings.number("retryShare") * 0.9,
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

    GracefulShutdown.Timing gracefulShutdown() {
        return new GracefulShutdown.Timing(
                settings.fractionOf("stopWaitMs", 0.2),
                settings.fractionOf("stopWaitMs", 0.75),
                settings.fractionOf("stopWaitMs", 0.9),
                settings.integer("stopWaitMs"),
                20,
                50);
    }
}
