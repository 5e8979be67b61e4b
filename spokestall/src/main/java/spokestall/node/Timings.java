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
import spokestall.proxy.AdmissionController;
import spokestall.proxy.LoadBalancer;
import spokestall.proxy.RequestConventions;
import spokestall.settings.Settings;
import spokestall.usage.UsageCounter;
import spokestall.usage.UsageReporter;

/** The time spans and bounds of each part of a node, taken from the settings. */
final class Timings {
    /** What a count that was not told is taken for where a table needs a bound. */
    private static final int UNTOLD = VoterSet.VOTERS_MAX;
    /** The version of messages since which an asker is told only what it lacks. */
    private static final int TERSE = 3;

    private final Settings settings;
    private final boolean core;

    Timings(final Settings settings, final boolean core) {
        this.settings = settings;
        this.core = core;
    }

    private int told(final String count) {
        return settings.integer(count) == 0 ? UNTOLD : (int) settings.integer(count);
    }

    /** A configuration, and a founding with it and all else that is left, must fit into one record of the cores' rings. */
    int configurationBytesMost() {
        return (int) Math.min(settings.integer("policyMaxBytes"), settings.integer("ringSegmentBytes") / 2);
    }

    /** The span whose counts are reported together. */
    long windowMs() {
        return settings.integer("reportWindowS") * 1000;
    }

    PartialView.Timing view() {
        return new PartialView.Timing(
                2 * (told("cores") + told("edges")),
                6,
                settings.fractionOf("leaveBoundMs", 4),
                settings.fractionOf("leaveBoundMs", 1));
    }

    Proposer.Timing proposer() {
        final long farMs = settings.integer("farMs");
        return new Proposer.Timing(4 * farMs, Math.max(1, farMs / 2), 64);
    }

    FeedClient.Timing follower() {
        return new FeedClient.Timing(
                settings.integer("freshMs"),
                32,
                3 * settings.integer("proofMs"),
                core ? 8 : 64,
                settings.integer("noteVersion") < TERSE);
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
                settings.integer("noteVersion") < TERSE,
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

    UsageCounter.Timing counter() {
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

    AdmissionController.Timing edge() {
        return new AdmissionController.Timing(
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

    GracefulShutdown.Timing departure() {
        return new GracefulShutdown.Timing(
                settings.fractionOf("stopWaitMs", 0.2),
                settings.fractionOf("stopWaitMs", 0.75),
                settings.fractionOf("stopWaitMs", 0.9),
                settings.integer("stopWaitMs"),
                20,
                50);
    }
}
