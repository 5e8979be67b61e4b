package spokestall.testbed.fault;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.fleet.FleetMember;
import spokestall.testbed.fleet.NodeBuild;
import spokestall.testbed.verdict.FleetJudge;

/**
 * Upgrades a fleet of processes from an older build to this one under load, one node at a time: first the cores, each on the data that
 * the older build wrote, then the edges. The configuration is changed before, during and after the upgrade, and each change must come
 * into force at nodes of both builds. The judge checks all rules.
 */
public final class RollingUpgrade {
    /** Flags of the command. */
    public static final class Flags {
        @Option(name = "--older", required = true, usage = "class path of the older build: its classes and libraries")
        private String olderClassPath;

        @Option(name = "--older-main", usage = "main class of the older build")
        private String olderMainClass = "spokestall.Main";

        @Option(name = "--deployment", usage = "padma or verde")
        private Deployment deployment = Deployment.PADMA;

        @Option(name = "--seconds", usage = "how long clients send requests")
        private int seconds = 90;

        @Option(name = "--folder", usage = "folder for settings, data and logs")
        private Path folder = Path.of("target", "fleet");

        @Option(name = "--help", help = true, usage = "print this help")
        @SuppressWarnings("UnusedVariable") // args4j needs the option; no code reads the field.
        private boolean help;
    }

    private static final double SERVED_RATIO_MIN = 0.99;
    private static final int REQUESTS_BEFORE_UPGRADE = 200;
    private static final long REQUESTS_WAIT_MS = 20_000;

    private RollingUpgrade() {}

    /** Runs the upgrade; returns 0 if no rule was violated, enough requests were served and all processes stopped cleanly. */
    public static int run(final Flags flags) throws Exception {
        final Path folder = flags.folder.resolve("upgrade-" + System.currentTimeMillis());
        try (Fleet fleet = new Fleet(flags.deployment, folder, Deployment.ZONES, 0)) {
            final NodeBuild older = new NodeBuild(flags.olderClassPath, flags.olderMainClass);
            fleet.members().values().forEach(member -> fleet.useBuild(member, older));
            fleet.start();
            fleet.awaitReady(fleet.putConfiguration());
            final FleetJudge judge = new FleetJudge(fleet);
            final Process clients = fleet.startLoadGenerator(flags.seconds, SERVED_RATIO_MIN);
            Fleet.waitUntil(
                    "requests arrive",
                    REQUESTS_WAIT_MS,
                    () -> fleet.ledger().began().size() > REQUESTS_BEFORE_UPGRADE);
            upgrade(fleet, flags.deployment);
            final int served = clients.waitFor();
            for (final FleetMember member : fleet.members().values()) {
                fleet.awaitFresh(member);
            }
            judge.judgeRun();
            final boolean clean = fleet.stopAll();
            final List<String> broken = broken(judge);
            System.out.println("upgrade deployment=" + flags.deployment + " served=" + (served == 0 ? "good" : "bad")
                    + " broken=" + broken + " stopped=" + (clean ? "clean" : "unclean") + " folder=" + folder);
            return served == 0 && broken.isEmpty() && clean ? 0 : 1;
        }
    }

    private static void upgrade(final Fleet fleet, final Deployment deployment)
            throws IOException, InterruptedException {
        final List<FleetMember> order = new ArrayList<>(
                fleet.members().values().stream().filter(m -> m.core).toList());
        fleet.members().values().stream().filter(m -> !m.core).forEach(order::add);
        for (int i = 0; i < order.size(); i++) {
            if (i == order.size() / 4) {
                change(fleet, deployment, "cores-of-both-builds");
            }
            if (i == order.size() * 3 / 4) {
                change(fleet, deployment, "edges-of-both-builds");
            }
            replace(fleet, order.get(i));
        }
        change(fleet, deployment, "all-of-this-build");
    }

    /** Stops a node gracefully and starts this build with the same settings and data. */
    private static void replace(final Fleet fleet, final FleetMember member) throws IOException, InterruptedException {
        member.process.destroy();
        member.process.waitFor();
        fleet.useBuild(member, NodeBuild.THIS);
        fleet.start(member);
        fleet.awaitFresh(member);
        System.out.println("upgraded " + member.name);
    }

    /** Submits the configuration as a new version and waits until every node applies it. */
    private static void change(final Fleet fleet, final Deployment deployment, final String changeId) {
        final ObjectNode configuration = deployment.configuration();
        final long version = fleet.putConfiguration(changeId, configuration);
        fleet.awaitReady(version);
        System.out.println("changed " + changeId + " version=" + version);
    }

    private static List<String> broken(final FleetJudge judge) {
        final List<String> broken = new ArrayList<>();
        judge.judge().tallies().forEach((rule, tally) -> {
            if (tally.violations > 0) {
                broken.add(rule + " x" + tally.violations + " " + tally.firstViolation);
            }
        });
        return broken;
    }
}
