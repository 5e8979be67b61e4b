package spokestall.testbed.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.standin.UpstreamStandIn;

/**
 * Runs one soak test: starts a fleet and its clients, plays series of actions on several lanes concurrently, waits for the fleet to recover
 * and judges the outcome.
 */
public final class SoakRun {
    /** One upstream in this many takes a quarter of a second per request, so that requests are in flight during every action. */
    private static final int UPSTREAMS_PER_SLOW_ONE = 3;

    private static final long RECOVERY_OBSERVATION_MS = 3000;
    private static final long NOT_REACHED = -1;
    /** The ratio of unserved requests allowed in the observation period at the end; clients still use up older connections then. */
    private static final double UNSERVED_RATIO_MAX = 0.02;

    private final SoakFlags flags;
    private final long seed;
    private final ProcessHistory history = new ProcessHistory();
    private final SoakVerdict verdict = new SoakVerdict(history);
    private final AtomicBoolean clientsKeepRunning = new AtomicBoolean(true);
    /**
     * Times since the launch of the first process: until all processes had started, until the first configuration was accepted, and until
     * every edge saw all upstreams.
     */
    private long startedMs = NOT_REACHED;

    private long acceptedMs = NOT_REACHED;

    private long readyMs = NOT_REACHED;

    private SoakRun(final SoakFlags flags, final long seed) {
        this.flags = flags;
        this.seed = seed;
    }

    /** Runs all seeds; returns zero if no rule was violated. */
    public static int run(final SoakFlags flags) throws IOException, InterruptedException {
        int broken = 0;
        for (long seed = flags.seed; seed < flags.seed + flags.seeds; seed++) {
            broken += new SoakRun(flags, seed).play().isEmpty() ? 0 : 1;
        }
        System.out.println("soak seeds=" + flags.seeds + " broken=" + broken);
        return broken == 0 ? 0 : 1;
    }

    /** Runs one seed; returns the violated rules, one line each. */
    public static List<String> play(final SoakFlags flags) throws IOException, InterruptedException {
        return new SoakRun(flags, flags.seed).play();
    }

    private List<String> play() throws IOException, InterruptedException {
        final Path folder = flags.folder.resolve("soak-" + seed + "-" + System.currentTimeMillis());
        final ExecutorService threads = Executors.newCachedThreadPool();
        try (Fleet fleet = new Fleet(
                flags.deployment, folder, flags.layout(), flags.deployment.upstreams(), null, flags.nodeSettings())) {
            slowSomeUpstreams(fleet);
            if (!start(fleet)) {
                return report(folder);
            }
            final List<Future<?>> clients = startClients(fleet, threads);
            playLanes(fleet, threads);
            recover(fleet);
            clientsKeepRunning.set(false);
            for (final Future<?> client : clients) {
                await(client);
            }
            verdict.judgeExchanges(fleet.ledger().began());
            verdict.judgeConfiguration(
                    fleet.call(fleet.anyCore().operators, "policy.get", new ObjectMapper().createObjectNode()));
            verdict.judgeMembers(fleet);
            if (!fleet.stopAll()) {
                verdict.addViolation(SoakVerdict.SoakRule.STOP, "not all processes stopped cleanly at the end");
            }
        } finally {
            clientsKeepRunning.set(false);
            threads.shutdownNow();
        }
        return report(folder);
    }

    /** Starts the fleet and waits until it serves requests; returns whether it does so in time. */
    private boolean start(final Fleet fleet) throws IOException {
        final long fromNanos = System.nanoTime();
        try {
            fleet.start();
            startedMs = elapsedMs(fromNanos);
            final long version = fleet.putConfiguration();
            acceptedMs = elapsedMs(fromNanos);
            fleet.awaitReady(version);
            readyMs = elapsedMs(fromNanos);
            return true;
        } catch (final IllegalStateException timeout) {
            verdict.addViolation(SoakVerdict.SoakRule.START, timeout.getMessage());
            return false;
        }
    }

    private static long elapsedMs(final long fromNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNanos);
    }

    private List<String> report(final Path folder) throws IOException {
        Files.write(
                folder.resolve("unserved.log"),
                verdict.unservedAfter(0).stream().map(SoakExchange::toString).toList());
        final List<String> lines = verdict.violations().stream()
                .map(violation -> violation.rule() + " " + violation.detail())
                .toList();
        System.out.println("soak seed=" + seed + " nodes=" + flags.layout().nodes() + " "
                + verdict.summary() + " startedMs=" + startedMs + " acceptedMs=" + acceptedMs + " readyMs=" + readyMs
                + " broken=" + lines.size()
                + " folder=" + folder);
        lines.forEach(line -> System.out.println("broken " + line));
        return lines;
    }

    private static void slowSomeUpstreams(final Fleet fleet) {
        final List<UpstreamStandIn> upstreams = fleet.standIns();
        for (int i = 0; i < upstreams.size(); i += UPSTREAMS_PER_SLOW_ONE) {
            upstreams.get(i).setBehavior(UpstreamStandIn.Behavior.SLOW);
        }
    }

    /** Returns the kinds of requests of tenants whose home regions include all regions, so that every edge serves them. */
    private List<Deployment.RequestKind> kinds() {
        final Set<String> everywhere = new HashSet<>();
        for (int tenant = 0; tenant < Deployment.TENANTS; tenant++) {
            if (Deployment.homeRegions(tenant).size()
                    == Deployment.homeRegions(0).size()) {
                everywhere.add(Deployment.tenant(tenant));
            }
        }
        return flags.deployment.requestKinds().stream()
                .filter(kind -> everywhere.contains(kind.tenant()))
                .toList();
    }

    private List<Future<?>> startClients(final Fleet fleet, final ExecutorService threads) {
        final List<Deployment.RequestKind> kinds = kinds();
        final List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < flags.clients; i++) {
            clients.add(threads.submit(new SoakClient(
                    fleet, kinds, seed * flags.clients + i, clientsKeepRunning::get, verdict::onExchange)));
        }
        return clients;
    }

    private void playLanes(final Fleet fleet, final ExecutorService threads) throws InterruptedException {
        final SoakActions actions = new SoakActions(fleet, flags.deployment, history, verdict);
        final long untilMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(flags.seconds);
        final List<Future<?>> lanes = new ArrayList<>();
        for (int lane = 0; lane < flags.lanes; lane++) {
            final Random random = new Random(seed * flags.lanes + lane);
            lanes.add(threads.submit(() -> playLane(actions, random, untilMs)));
        }
        for (final Future<?> lane : lanes) {
            await(lane);
        }
    }

    private static Void playLane(final SoakActions actions, final Random random, final long untilMs)
            throws IOException, InterruptedException {
        final SoakSeries[] all = SoakSeries.values();
        while (System.currentTimeMillis() < untilMs) {
            all[random.nextInt(all.length)].play(actions, random);
        }
        return null;
    }

    private void await(final Future<?> task) throws InterruptedException {
        try {
            task.get();
        } catch (final java.util.concurrent.ExecutionException e) {
            verdict.addViolation(SoakVerdict.SoakRule.RECOVERY, "a lane or client failed: " + e.getCause());
        }
    }

    /** Waits until every node is fresh, then checks for {@link #RECOVERY_OBSERVATION_MS} that requests are served. */
    private void recover(final Fleet fleet) {
        try {
            fleet.members().values().forEach(fleet::awaitFresh);
        } catch (final IllegalStateException e) {
            verdict.addViolation(SoakVerdict.SoakRule.RECOVERY, e.getMessage());
            return;
        }
        final long fromMs = System.currentTimeMillis();
        Fleet.pause(RECOVERY_OBSERVATION_MS);
        final List<SoakExchange> unserved = verdict.unservedAfter(fromMs);
        if (unserved.size() > UNSERVED_RATIO_MAX * verdict.exchangesAfter(fromMs)) {
            verdict.addViolation(
                    SoakVerdict.SoakRule.RECOVERY,
                    unserved.size() + " unserved of " + verdict.exchangesAfter(fromMs) + ", by code "
                            + SoakVerdict.byCode(unserved) + ", first " + unserved.get(0));
        }
    }
}
