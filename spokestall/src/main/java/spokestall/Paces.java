package spokestall;

import java.util.function.IntSupplier;
import spokestall.ballot.Formation;
import spokestall.ballot.Founder;
import spokestall.ballot.Handover;
import spokestall.ballot.Proposer;
import spokestall.ballot.Voters;
import spokestall.duty.LeaseKeeper;
import spokestall.duty.Reporter;
import spokestall.duty.UsageCounter;
import spokestall.edge.Edge;
import spokestall.edge.Elector;
import spokestall.edge.Habits;
import spokestall.feed.Follower;
import spokestall.listing.Prober;
import spokestall.settings.Settings;
import spokestall.view.View;

/** The time spans and bounds of each part of a node, taken from the settings. */
final class Paces {
    /** What a count that was not told is taken for where a table needs a bound. */
    private static final int UNTOLD = Voters.SEATS_MAX;
    /** The version of messages since which an asker is told only what it lacks. */
    private static final int TERSE = 3;

    private final Settings settings;
    private final boolean core;

    Paces(final Settings settings, final boolean core) {
        this.settings = settings;
        this.core = core;
    }

    private int told(final String count) {
        return settings.ms(count) == 0 ? UNTOLD : (int) settings.ms(count);
    }

    /** A policy, and a founding with it and all else that is left, must fit into one record of the cores' rings. */
    int policyBytesMost() {
        return (int) Math.min(settings.ms("policyMaxBytes"), settings.ms("ringSegmentBytes") / 2);
    }

    /** The span whose counts are reported together. */
    long windowMs() {
        return settings.ms("reportWindowS") * 1000;
    }

    View.Pace view() {
        return new View.Pace(
                2 * (told("cores") + told("edges")),
                6,
                settings.part("leaveBoundMs", 4),
                settings.part("leaveBoundMs", 1));
    }

    Proposer.Pace proposer() {
        final long farMs = settings.ms("farMs");
        return new Proposer.Pace(4 * farMs, Math.max(1, farMs / 2), 64);
    }

    Follower.Pace follower() {
        return new Follower.Pace(
                settings.ms("freshMs"),
                32,
                3 * settings.ms("proofMs"),
                core ? 8 : 64,
                settings.ms("noteVersion") < TERSE);
    }

    Founder.Pace founder() {
        return new Founder.Pace(
                settings.part("leaveBoundMs", 0.5), settings.part("leaveBoundMs", 0.25), 8 * settings.ms("farMs"));
    }

    Formation.Pace formation() {
        return new Formation.Pace(
                (int) settings.ms("cores"),
                settings.part("leaveBoundMs", 0.6),
                settings.part("leaveBoundMs", 0.15),
                settings.part("leaveBoundMs", 0.75),
                8 * settings.ms("farMs"),
                settings.part("leaveBoundMs", 0.25),
                settings.ms("noteVersion") < TERSE,
                settings.part("leaveBoundMs", 0.5),
                settings.part("leaveBoundMs", 8));
    }

    Handover.Pace handover() {
        return new Handover.Pace(2 * settings.ms("farMs"), 6 * settings.ms("farMs"));
    }

    Prober.Pace prober() {
        return new Prober.Pace(
                settings.part("leaveBoundMs", 0.25),
                settings.part("leaveBoundMs", 0.5),
                2,
                2,
                settings.ms("listMs"),
                settings.part("leaveBoundMs", 0.25),
                settings.ms("probes") == 1);
    }

    UsageCounter.Pace counter() {
        return new UsageCounter.Pace(
                windowMs(),
                settings.part("reportDueMs", 0.1),
                3,
                settings.ms("uncountedMs"),
                (int) settings.ms("cores"),
                settings.ms("farMs") / 2);
    }

    Reporter.Pace reporter() {
        return new Reporter.Pace(
                windowMs(),
                settings.part("reportDueMs", 0.15),
                settings.part("reportDueMs", 0.5),
                settings.part("reportDueMs", 0.03),
                settings.ms("reportDueMs"),
                settings.part("leaseMs", 0.4),
                settings.part("leaseMs", 0.4),
                settings.number("dutiesPerS"));
    }

    LeaseKeeper.Pace lease() {
        return new LeaseKeeper.Pace(
                settings.ms("leaseMs"),
                settings.part("leaseMs", 0.2),
                settings.part("leaseMs", 0.4),
                settings.part("leaseMs", 0.1),
                2 * settings.ms("farMs"),
                settings.ms("maxRunMs"),
                settings.ms("restMs"));
    }

    Elector.Pace elector(final IntSupplier sharers) {
        return new Elector.Pace(
                sharers,
                settings.number("warmRatio"),
                settings.number("warmSlack"),
                settings.part("leaveBoundMs", 0.25),
                settings.part("leaveBoundMs", 2),
                settings.number("districtCost"),
                settings.number("regionCost"));
    }

    Edge.Pace edge() {
        return new Edge.Pace(
                (int) settings.ms("askOpenMax"),
                settings.ms("heldMaxBytes"),
                settings.ms("claimKeepMs"),
                20 * settings.ms("farMs"),
                4 * settings.ms("farMs"),
                settings.ms("retryAfterMs"),
                3,
                settings.number("retryShare") * 0.9,
                settings.number("retryAllowance"),
                settings.ms("askSpanMaxMs"),
                settings.part("claimKeepMs", 0.01),
                new Habits(
                        settings.ms("keyed") == 1,
                        settings.ms("claims") == 1,
                        settings.ms("homeEdges") == 1,
                        settings.ms("holdsEdges") == 1,
                        settings.ms("unsentFree") == 1,
                        settings.ms("any500") == 1));
    }

    Departure.Pace departure() {
        return new Departure.Pace(
                settings.part("stopWaitMs", 0.2),
                settings.part("stopWaitMs", 0.75),
                settings.part("stopWaitMs", 0.9),
                settings.ms("stopWaitMs"),
                20,
                50);
    }
}
